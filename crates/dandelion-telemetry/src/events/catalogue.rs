//! The catalogue of events, by hundreds: 100 start and stop, 200 control, 300 mesh and HTTP,
//! 400 routing, 500 rollouts, 600 fleet, 700 usage, 800 keys and operators, 900 route plan and
//! batch jobs.

use log::Level;

macro_rules! events {
    ($($number:literal $level:ident $variant:ident $name:literal $meaning:literal $remedy:literal;)*) => {
        /// A numbered event. Numbers and names are never reused for another event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Event {
            $(#[doc = $meaning] $variant,)*
        }

        impl Event {
            /// Every event, by number.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// Returns the number.
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$variant => $number,)*
                }
            }

            /// Returns the level at which it is logged.
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$variant => Level::$level,)*
                }
            }

            /// Returns the name.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// Returns what happened.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$variant => $meaning,)*
                }
            }

            /// Returns what an operator can do about it; starts with `none` if nothing is needed.
            pub const fn remedy(self) -> &'static str {
                match self {
                    $(Self::$variant => $remedy,)*
                }
            }
        }
    };
}

events! {
    101 Info Started "daemon_started"
        "The daemon has started and serves requests." "none";
    102 Info Stopping "daemon_stopping"
        "The daemon is stopping: its health check fails and it finishes the running requests." "none";
    103 Info Stopped "daemon_stopped"
        "The daemon has stopped its work and exits." "none";
    104 Error SettingRefused "setting_refused"
        "A setting is invalid; the daemon does not start." "Correct the named setting.";
    105 Error BindFailed "bind_failed"
        "An address cannot be bound." "Free the port or choose another address.";
    106 Warn StopTimeout "stop_timeout"
        "Requests were still running when the stop timeout expired; they were aborted."
        "Raise --stop-timeout-ms if requests may take longer.";
    107 Info Reloaded "settings_reloaded"
        "The daemon received the signal to reload its settings." "none";
    108 Warn LinesLeftOut "log_lines_left_out"
        "Lines of one kind were dropped from the log, because there were too many in a second." "none; warnings and errors have a budget of their own";
    109 Error TaskFailed "task_failed"
        "A task of this daemon failed by a panic; what it held was given back." "Report it with the lines before it: it is a fault of the daemon.";

    201 Info LeaderElected "leader_elected"
        "A control leader was elected." "none";
    202 Warn LeaderLost "leader_lost"
        "The control leader was lost." "If no new leader is elected, check the voters' VMs and network.";
    203 Info LeaseHeld "lease_held"
        "The daemon holds a lease and serves keyed routes." "none";
    204 Warn LeaseLost "lease_lost"
        "The daemon's lease expired; it serves open routes only."
        "Check the network towards the control daemons.";
    205 Info SnapshotWritten "snapshot_written"
        "A snapshot was written, and the log entries before it were removed." "none";
    206 Info SnapshotInstalled "snapshot_installed"
        "A snapshot from the leader replaced the state." "none";
    207 Warn LogTailCut "log_tail_cut"
        "An incomplete record at the end of the log was removed." "none; the record was never acknowledged";
    208 Error StorageDamaged "storage_damaged"
        "Stored data other than the last record of the log is damaged; the daemon does not start."
        "Replace the voter by a daemon with a new name and an empty folder.";
    209 Error StorageFailed "storage_failed"
        "The data folder could not be written. The daemon runs on without its replica and tries again every second." "Free space or replace the disk.";
    210 Error FolderLocked "folder_locked"
        "Another process uses the data folder." "Stop it, or set another folder.";
    211 Info VotersChanged "voters_changed"
        "The voters of the control group changed." "none";
    212 Info DaemonJoined "daemon_joined"
        "A daemon became a member of the cell." "none";
    213 Warn DaemonSuspected "daemon_suspected"
        "A daemon did not answer several probes in a row." "Check its VM and the network towards it.";
    214 Info DaemonLeft "daemon_left"
        "A daemon left the cell." "none";
    215 Warn RevisionRefused "revision_refused"
        "A control daemon offered a lower revision than the daemon already has." "none; the daemon requests it from another one";
    216 Info LeaderKnown "leader_known"
        "A replica learned that another daemon, or none, leads its group." "none";
    217 Info StorageReopened "storage_reopened"
        "The data folder can be written again; the replica is part of its group again." "none";
    218 Info VoteHandedOver "vote_handed_over"
        "A voter stops as planned; the leader gives its vote to a learner that was added to replace it." "none";
    219 Info VoteWithdrawn "vote_withdrawn"
        "A voter did not reply; the leader makes it a learner and gives its vote to another one." "none";
    220 Warn GroupShort "group_short"
        "Voters of a group are missing or do not reply: it bears fewer losses than it is meant to."
        "Replace the silent daemons; take none of the other voters out of service before `group_complete`.";
    221 Info GroupComplete "group_complete"
        "All voters that a group is meant to have reply again." "none";
    222 Warn StoreLost "store_lost"
        "A store does not answer, or stops, and another one has joined; further stores copy its result bodies."
        "Take no other store out of service before `bodies_complete`.";
    223 Info StoreReturned "store_returned"
        "A store that counted as lost answers again." "none";
    224 Warn BodiesShort "bodies_short"
        "Result bodies that this store should have are missing on its disk; they are copied from other stores."
        "Take no other store out of service before `bodies_complete`. Start stores whose disks have the `unavailable` ones.";
    225 Info BodiesComplete "bodies_complete"
        "This store has all result bodies that it should have." "none";

    301 Warn MeshRefused "mesh_refused"
        "A connection on the mesh address failed its handshake."
        "Check the mesh secrets, cell numbers and versions of both daemons.";
    302 Warn MeshGarbage "mesh_garbage"
        "A message on the mesh did not decode; the connection was closed."
        "Check that both daemons run the same version.";
    303 Info MeshConnected "mesh_connected"
        "A mesh connection was opened." "none";
    304 Warn MeshLost "mesh_lost"
        "A mesh connection was closed or stopped responding." "none; it is replaced";
    305 Warn RequestMalformed "request_malformed"
        "A caller sent something that is not a valid HTTP request." "none; it was refused";
    306 Warn LimitReached "limit_reached"
        "A head, a body or the number of connections exceeded its limit."
        "Raise the named limit if callers need more.";
    307 Warn HeadTimeout "head_timeout"
        "A caller took too long to send a request head." "none; the connection was closed";

    401 Info UpstreamUp "upstream_up"
        "An upstream announced itself and receives requests." "none";
    402 Warn UpstreamLost "upstream_lost"
        "An upstream is no longer announced or reachable." "Check its VM.";
    403 Warn UpstreamEjected "upstream_ejected"
        "An upstream failed too often and receives only probes." "Check the upstream's log.";
    404 Info UpstreamDrained "upstream_drained"
        "A leaving upstream has finished its work." "none";
    405 Info OwnerChanged "owner_changed"
        "The owner of an upstream changed." "none";
    406 Warn AnswerBroken "answer_broken"
        "An upstream's answer was cut off, too long or for another request; it was not delivered as complete."
        "Check the upstream if it happens again.";
    407 Warn PoisonSuspected "poison_suspected"
        "An upstream crashed while it ran a request." "none; suspected requests run alone";
    408 Warn PoisonBlocked "poison_blocked"
        "A request crashed upstreams again and is refused everywhere."
        "Fix the engine, then remove the block with `dandelionctl upstream unpoison`.";
    409 Warn ConnectionReplaced "connection_replaced"
        "A connection that did not respond was replaced." "none";

    501 Info VersionPublished "version_published"
        "A trainer published a weight version." "none";
    502 Warn SampleDiscarded "sample_discarded"
        "A sample was discarded as stale or not attributable." "none; it is generated again";
    503 Warn SwapFailed "swap_failed"
        "An engine did not load a weight version." "none; it is retried, then set aside";
    504 Warn BudgetSpent "budget_spent"
        "A job's token budget is spent." "Raise the budget or end the job.";
    505 Info JobMoved "job_moved"
        "The coordinator of a job changed." "none";

    601 Info OrderSent "order_sent"
        "An order was sent to the platform." "none";
    602 Warn OrderFailed "order_failed"
        "The platform refused or failed an order." "none; the planner backs off and tries elsewhere";
    603 Warn OrderWithheld "order_withheld"
        "An order was not sent, because the remaining lease was too short." "none; the next leader decides again";
    604 Warn StockOut "stock_out"
        "The platform has no upstream of the requested kind in a zone." "none; other zones and kinds are tried";
    605 Warn ZoneReclaimed "zone_reclaimed"
        "The cheap upstreams of a zone were reclaimed." "none";

    701 Info WindowFrozen "window_frozen"
        "The figures of a usage window are final." "none";
    702 Info WindowAccepted "window_accepted"
        "The platform accepted a usage window." "none";
    703 Warn WindowLate "window_late"
        "A usage window was not accepted in time." "Check the platform and the control group.";
    704 Warn CountsLate "counts_late"
        "Usage counts arrived after their window was frozen; they are added to a later one and marked as late." "none";
    705 Error WindowDisputed "window_disputed"
        "The platform has other figures for a usage window; the window is not reported again."
        "Compare both figures with `dandelionctl usage explain`; never change the frozen one.";

    801 Info KeyGranted "key_granted"
        "A key was granted." "none";
    802 Info KeyWithdrawn "key_withdrawn"
        "A key was withdrawn; its streams and queued requests were ended." "none";
    803 Warn KeyRefused "key_refused"
        "A caller sent a key that is not valid." "none";
    804 Warn OperatorRefused "operator_refused"
        "An operator's token was missing or wrong." "Check DANDELION_OPERATOR_TOKEN of daemon and dandelionctl.";
    805 Info ChangeAccepted "change_accepted"
        "An operator's change was accepted." "none";
    806 Warn ChangeRefused "change_refused"
        "An operator's change was refused." "See the answer; it names the remedy.";

    901 Info PlanInForce "plan_in_force"
        "A route plan took effect on this daemon." "none";
    902 Info PlanAccepted "plan_accepted"
        "A route plan was acknowledged; an older version than the one held changes nothing." "none";
    903 Warn PlanRefused "plan_refused"
        "A route plan is invalid and was refused." "See the reason; correct the plan.";
    904 Info LifeReported "life_reported"
        "A new incarnation or state of an upstream was recorded." "none";
    905 Info LifeEnded "life_ended"
        "An upstream announced its end, or stopped reporting." "none";
    906 Warn ReportRefused "report_refused"
        "A report of an upstream is malformed or names an unknown service." "Check its sender.";
    907 Info VersionNamed "version_named"
        "A trainer named a version of its model's weights." "none";
    908 Info RetireBegun "retire_begun"
        "A store daemon is being emptied." "none";
    909 Warn RetireRefused "retire_refused"
        "A store daemon was not emptied, because too few would remain." "Add a store daemon first.";
    910 Info RetireDone "retire_done"
        "A store daemon is emptied; its VM can be removed." "none";
    911 Info RequestAnswered "request_answered"
        "A request on a planned route got its upstream's answer." "none";
    912 Warn RequestRetried "request_retried"
        "An attempt of a request failed or was refused; another upstream is tried." "none";
    913 Warn RequestRefused "request_refused"
        "A request was refused without being run." "See the reason.";
    914 Warn RequestFailed "request_failed"
        "A request may have run, but no complete answer can be returned." "See the reason; check the upstream.";
    915 Warn RunInterrupted "run_interrupted"
        "An upstream that was sent a request gave no complete answer; the line says whether it still accepts connections."
        "If several lines have one fingerprint, the request may be what ends the upstreams.";
    916 Warn ContentJudged "content_judged"
        "What is known of a content that may end upstreams changed: an upstream ended under it, a trial was released, or an upstream answered it."
        "If it is blocked, find out why the content ends upstreams; it is tried again after an hour.";
    917 Info TrialBegun "trial_begun"
        "A content under which an upstream ended runs again; no other copy runs meanwhile." "none";

    918 Warn LimitKnown "limit_known"
        "An upstream named a limit on the requests that it takes, named another one or ended it; the line says whether an answer to this daemon or the cell's table said so."
        "Find out why the upstream is in need.";
    919 Info PermitTaken "permit_taken"
        "The control leader granted permits to send to an upstream that names a limit." "none";
    920 Warn PermitDenied "permit_denied"
        "No permit was left for upstreams that name a limit, or no control leader answered." "none; the request goes to another upstream, waits or is refused";

    921 Info JobAccepted "job_accepted"
        "A batch job was stored; its items will run." "none";
    922 Info JobEnded "job_ended"
        "A batch job was ended by its owner." "none";
    923 Info JobsTaken "jobs_taken"
        "This daemon became the leader of the store group and runs the batch jobs." "none";
    924 Warn JobsLost "jobs_lost"
        "This daemon is no longer the leader of the store group; its runs were aborted." "none";
    925 Info ItemFinished "item_finished"
        "The result of an item was listed." "none";
    926 Warn ItemRetried "item_retried"
        "A run of an item ended without a result; the item waits for another run." "none";
    927 Warn ItemGivenUp "item_given_up"
        "An item was given up and listed as such." "Check the engines' logs for the item.";
    928 Info LoadOrdered "load_ordered"
        "An engine was ordered to load a version." "none";
    929 Warn LoadFailed "load_failed"
        "An order to load a version was not accepted." "none; it is repeated";
    930 Info StoresFounded "stores_founded"
        "The group that stores batch jobs was bootstrapped." "none";
    931 Info JobOpened "job_opened"
        "The leader of the store group began to run a batch job." "none";
    932 Info JobClosed "job_closed"
        "The leader of the store group stopped running a batch job, because its owner ended it." "none";
    933 Info RunFinished "run_finished"
        "A run generated an item's complete output; it is listed once enough disks have it." "none";
    934 Info RunCancelled "run_cancelled"
        "A run was cancelled, because its engine is gone or its job was ended; an open item waits for another run." "none";
    935 Info ReportOutdated "report_outdated"
        "A report of an upstream was not recorded, because a later one of it or of its address is known." "none";
    936 Info SendWithheld "send_withheld"
        "A request or item was not written to the upstream that was chosen for it, because this daemon's lease is about to end, the upstream left meanwhile or its zone is evacuated." "none; another upstream is chosen, or the request is refused as not run";
    937 Info LeavingKnown "leaving_known"
        "An upstream said in an answer to this daemon that it leaves; this daemon sends it nothing more, whatever is reported of it." "none";
    938 Info OutputDropped "output_dropped"
        "An item's unfinished output was dropped, because no upstream of the software version that generated it could continue it in time; the item starts anew." "none";
    939 Info StreamTakenUp "stream_taken_up"
        "A caller takes up a stream that broke; it goes on at an upstream of the software version that began it." "none";
    940 Warn OriginUnconfirmed "origin_unconfirmed"
        "No other daemon confirmed in time that it keeps the origin of a stream; if this entry is lost, the stream may not go on." "none; if it occurs often, check the mesh between entries and stores";
    941 Info StreamEnded "stream_ended"
        "A stream to a caller ended: complete, broken at the upstream, or left by the caller." "none";
    942 Info ItemScored "item_scored"
        "The output of an item was scored; the item is listed once enough disks have the output." "none";
    943 Warn ScoringRetried "scoring_retried"
        "A request that scores an item brought no score; it is sent again, unless the service has failed it too often or the job ends." "Check the route and the logs of the scoring service.";
    944 Warn UpstreamUnreached "upstream_unreached"
        "No connection to an upstream could be made, though it is known as ready; the request did not run there."
        "If one daemon names all upstreams, check its links; if all daemons name one upstream, check the upstream.";
    945 Warn LinksLost "links_lost"
        "This daemon reaches no upstream, whatever the cell knows of them; other daemons forward its callers' requests."
        "Check the network between this VM and the upstreams.";
    946 Info LinksRestored "links_restored"
        "This daemon reaches upstreams again." "none";
    947 Info RequestDetoured "request_detoured"
        "A caller's request was given to another daemon to forward, because this one didn't reach an upstream; the line says what came of it."
        "none; see the lines with the same request at that daemon";

    952 Info UpstreamCold "upstream_cold"
        "An upstream has started during traffic or has turned cold again; all daemons together send it no more than it tolerates."
        "none; if it stays cold, see what its reports say";
    953 Info UpstreamWarm "upstream_warm"
        "An upstream reported that it is warm; it gets requests without permits." "none";
    960 Warn ZoneEvacuated "zone_evacuated"
        "A zone is evacuated: this daemon sends nothing more to its upstreams." "none; restore the zone once its trouble is over";
    961 Info ZoneRestored "zone_restored"
        "The evacuation of a zone was cancelled: its upstreams get requests again." "none";
    962 Warn ZoneOrderRefused "zone_order_refused"
        "An order to evacuate or restore a zone changed nothing: its zone's name is invalid, too many zones are evacuated, or it may be a late copy of an earlier order."
        "See the reason; repeat the order after a second if it is a new one.";
}
