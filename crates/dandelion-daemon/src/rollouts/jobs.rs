//! The rollout jobs that are placed on this daemon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_std::task;
use dandelion_net::clock;
use dandelion_protocol::config::Job;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::ServiceId;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::RolloutCounts;
use dandelion_rollout::coordinator::settings::TICK;
use dandelion_rollout::payload::PayloadStore;

use crate::control::View;
use crate::core::Handle;
use crate::rollouts::driver::Driver;

/// Maximum size of the payloads that a daemon stores, over all jobs.
const MAX_PAYLOAD_BYTES: usize = 96 * 1024 * 1024;

/// Rollout jobs that this daemon coordinates, and payloads that it stores for any coordinator.
#[derive(Debug)]
pub struct Rollouts {
    drivers: Mutex<BTreeMap<JobId, Arc<Driver>>>,
    payloads: Mutex<PayloadStore>,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            drivers: Mutex::default(),
            payloads: Mutex::new(PayloadStore::open(MAX_PAYLOAD_BYTES)),
        }
    }
}

impl Rollouts {
    fn drivers(&self) -> MutexGuard<'_, BTreeMap<JobId, Arc<Driver>>> {
        self.drivers.lock().expect("no holder of this lock panics")
    }

    /// Locks the payloads stored here.
    pub(super) fn payloads(&self) -> MutexGuard<'_, PayloadStore> {
        self.payloads.lock().expect("no holder of this lock panics")
    }

    /// Returns the driver of a job; none if this daemon does not coordinate it.
    pub(super) fn driver(&self, job: &JobId) -> Option<Arc<Driver>> {
        self.drivers().get(job).cloned()
    }

    /// Removes the driver of a job that this daemon no longer coordinates.
    pub(super) fn step_down(&self, job: &JobId) {
        self.drivers().remove(job);
    }

    /// Returns a job's counters since this daemon became its coordinator.
    pub fn counts(&self, job: &JobId) -> Option<RolloutCounts> {
        self.driver(job).map(|driver| driver.counts())
    }

    /// Returns the service of each active job coordinated here, with the number of samples that it
    /// requests: those of one training step.
    pub fn requested_samples(&self) -> Vec<(ServiceId, u32)> {
        let drivers = self.list();
        let jobs = drivers.iter().filter_map(|(_, driver)| driver.job());
        let active = jobs.filter(|job| !job.ended);
        active
            .map(|job| (job.service.clone(), job.group_size * job.step_groups))
            .collect()
    }

    /// Applies changed jobs and published versions of the configuration.
    pub fn set_config(&self, core: &Handle, view: &View) {
        self.release_ended(view);
        for (id, driver) in self.list() {
            match view.config.jobs.get(&id) {
                Some(job) => driver.handle(core, Event::ConfigChanged(job.clone())),
                None => self.step_down(&id),
            }
            if let Some(version) = view.config.versions.get(&id) {
                driver.handle(core, Event::Published { version: *version });
            }
        }
    }

    /// Removes the payloads of jobs that have ended.
    fn release_ended(&self, view: &View) {
        let mut payloads = self.payloads();
        for job in view.config.jobs.values().filter(|j| j.ended) {
            payloads.release_job(&job.id);
        }
    }

    fn list(&self) -> Vec<(JobId, Arc<Driver>)> {
        let drivers = self.drivers();
        drivers
            .iter()
            .map(|(id, driver)| (id.clone(), Arc::clone(driver)))
            .collect()
    }

    /// Opens drivers for the jobs placed here and resigns from those placed elsewhere.
    fn apply_placement(&self, core: &Handle, view: &View) {
        let own = &core.identity.daemon;
        let is_own = |id: &JobId| view.coordinator(id) == Some(own);
        for (id, driver) in self.list() {
            if !is_own(&id) && driver.resign(core) {
                self.step_down(&id);
            }
        }
        if core.is_stopping() {
            return;
        }
        let jobs = view.config.jobs.values();
        for job in jobs.filter(|j| !j.ended && is_own(&j.id)) {
            if self.driver(&job.id).is_none() {
                self.open(core, view, job);
            }
        }
    }

    fn open(&self, core: &Handle, view: &View, job: &Job) {
        let driver = Arc::new(Driver::open(job));
        self.drivers().insert(job.id.clone(), Arc::clone(&driver));
        driver.start(core, job.clone());
        if let Some(version) = view.config.versions.get(&job.id) {
            driver.handle(core, Event::Published { version: *version });
        }
    }
}

/// Opens and closes drivers by the placement of the jobs and ticks them, until the process ends.
pub async fn run_rollouts(core: Handle) {
    loop {
        task::sleep(Duration::from_millis(TICK.0)).await;
        let view = core.control.view();
        core.rollouts.apply_placement(&core, &view);
        for (_, driver) in core.rollouts.list() {
            let slots = core
                .entry
                .owners()
                .slots(clock::boot_now(), &driver.service());
            driver.handle(&core, Event::Capacity(slots as usize));
            driver.handle(&core, Event::Tick);
        }
    }
}
