//! Logging of events with fields.

/// Log target of numbered events.
pub const TARGET: &str = "dandelion_event";

/// Logs an event with `key = value` fields; values are written by `Display`.
///
/// The keys `event` and `event_name` are reserved.
#[macro_export]
macro_rules! event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        $crate::log::log!(
            target: $crate::events::TARGET,
            event.level(),
            event = event.number(),
            event_name = event.name()
            $(, $key:% = $value)*;
            "{}",
            event.meaning()
        );
    }};
}
