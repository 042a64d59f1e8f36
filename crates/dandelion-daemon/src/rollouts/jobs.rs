//! The jobs that this daemon coordinates, by the placement of the configuration.

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

/// Payload bytes that a daemon keeps for all jobs.
const PAYLOAD_LIMIT: usize = 96 * 1024 * 1024;

/// Jobs and payloads of this daemon.
#[derive(Debug)]
pub struct Rollouts {
    drivers: Mutex<BTreeMap<JobId, Arc<Driver>>>,
    payloads: Mutex<PayloadStore>,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            drivers: Mutex::default(),
            payloads: Mutex::new(PayloadStore::open(PAYLOAD_LIMIT)),
        }
    }
}

impl Rollouts {
    fn drivers(&self) -> MutexGuard<'_, BTreeMap<JobId, Arc<Driver>>> {
        self.drivers.lock().expect("no holder of this lock panics")
    }

    /// Borrows the payloads kept here.
    pub(super) fn payloads(&self) -> MutexGuard<'_, PayloadStore> {
        self.payloads.lock().expect("no holder of this lock panics")
    }

    /// Returns the driver of a job that this daemon is in charge of.
    pub(super) fn driver(&self, job: &JobId) -> Option<Arc<Driver>> {
        self.drivers().get(job).cloned()
    }

    /// Forgets a driver that another daemon replaced.
    pub(super) fn step_down(&self, job: &JobId) {
        self.drivers().remove(job);
    }

    /// Returns a job's counts since this daemon took charge.
    pub fn counts(&self, job: &JobId) -> Option<RolloutCounts> {
        self.driver(job).map(|driver| driver.counts())
    }

    /// Returns the samples that each job in progress here wants generated at once: those of one
    /// step, by service.
    pub fn wanted(&self) -> Vec<(ServiceId, u32)> {
        let drivers = self.list();
        let jobs = drivers.iter().filter_map(|(_, driver)| driver.job());
        let active = jobs.filter(|job| !job.ended);
        active
            .map(|job| (job.service.clone(), job.group_size * job.step_groups))
            .collect()
    }

    /// Takes over jobs and versions of the configuration.
    pub fn set_config(&self, core: &Handle, view: &View) {
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

    fn list(&self) -> Vec<(JobId, Arc<Driver>)> {
        let drivers = self.drivers();
        drivers
            .iter()
            .map(|(id, driver)| (id.clone(), Arc::clone(driver)))
            .collect()
    }

    /// Opens drivers for the jobs placed here and drops those placed elsewhere.
    fn place(&self, core: &Handle, view: &View) {
        let own = &core.identity.daemon;
        let is_own = |id: &JobId| view.coordinator(id) == Some(own);
        self.drivers().retain(|id, _| is_own(id));
        if core.is_stopping() {
            return;
        }
        let jobs = view.config.jobs.values();
        let placed: Vec<&Job> = jobs.filter(|j| !j.ended && is_own(&j.id)).collect();
        for job in placed {
            if self.driver(&job.id).is_none() {
                let driver = Arc::new(Driver::open(job));
                self.drivers().insert(job.id.clone(), Arc::clone(&driver));
                driver.start(core, job.clone());
                if let Some(version) = view.config.versions.get(&job.id) {
                    driver.handle(core, Event::Published { version: *version });
                }
            }
        }
    }
}

/// Places and ticks jobs until the process ends.
pub async fn run_rollouts(core: Handle) {
    loop {
        task::sleep(Duration::from_millis(TICK.0)).await;
        let view = core.control.view();
        core.rollouts.place(&core, &view);
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
