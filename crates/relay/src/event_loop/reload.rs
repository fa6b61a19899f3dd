//! Reloads the configuration while the relay runs.

use std::collections::BTreeSet;

use policy::types::{Event, Settings};
use runtime::{log, Runtime};

use super::error::ReloadError;
use super::{EventLoop, PolicyAborted};
use crate::config::Config;
use crate::journal::PendingMessage;
use crate::operator_config;

impl<R: Runtime> EventLoop<R> {
    /// Reads the configuration and the operator file again. An invalid configuration changes nothing.
    ///
    /// # Errors
    /// [`PolicyAborted`] from the round that runs before the files are read.
    pub fn reload(&mut self) -> Result<(), PolicyAborted> {
        // Messages that the policy has decided on are accepted under the settings of that decision.
        self.run_round()?;
        let reloaded = Config::load(&self.runtime)
            .map_err(ReloadError::Configuration)
            .and_then(|config| self.apply_configuration(config));
        self.control.metrics().record_reload(reloaded.is_ok());
        if let Err(error) = reloaded {
            let error = error.to_string().replace('\n', " ");
            log!(self.runtime, "configuration: reload_rejected error={error}");
        }
        operator_config::reload_tokens(
            &self.runtime,
            self.operator_file.as_deref(),
            &self.admin_tokens,
        );
        Ok(())
    }

    /// Puts a configuration in force, completely or not at all.
    fn apply_configuration(&mut self, config: Config) -> Result<(), ReloadError> {
        if let Some(key) = config.missing_key(&self.config) {
            let key = key.to_string();
            return Err(ReloadError::MissingKey { key });
        }
        self.update_classes(&config)?;
        self.log_fixed_settings(&config);
        self.config.apply(config);
        self.publish_configuration();
        self.declare_classes();
        self.push_settings_changed();
        Ok(())
    }

    /// Puts the new classes in force. Classes of messages in the journal keep their numbers.
    fn update_classes(&mut self, config: &Config) -> Result<(), ReloadError> {
        let in_use: BTreeSet<u16> = self
            .journal
            .borrow()
            .pending()
            .values()
            .filter_map(|pending| self.class_number(pending))
            .collect();
        let is_updated = self
            .classes
            .update(&config.classes, &config.settings.classes, |number| {
                in_use.contains(&number)
            });
        if is_updated {
            Ok(())
        } else {
            Err(ReloadError::TooManyClasses)
        }
    }

    fn class_number(&self, pending: &PendingMessage) -> Option<u16> {
        let name = &pending.accepted.class;
        match &pending.class_version {
            Some(version) => self.classes.number_of(name, &version.class),
            None => self.classes.number(name),
        }
    }

    /// Logs the changed settings that take effect only with the next start.
    fn log_fixed_settings(&self, config: &Config) {
        let fixed = config.changes_for_next_start(&self.config);
        if !fixed.is_empty() {
            log!(
                self.runtime,
                "configuration: restart_required settings={}",
                fixed.join(",")
            );
        }
    }

    /// Passes the configuration in force to the components that keep a copy of parts of it.
    fn publish_configuration(&mut self) {
        let discovery = self.config.discovery;
        log!(
            self.runtime,
            "configuration: reloaded discovery={discovery}"
        );
        self.discovery_address
            .send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
        self.control.metrics().set_classes(&self.config.classes);
        self.tenants.set_classes(&self.config.classes);
    }

    fn push_settings_changed(&mut self) {
        let event = self.settings_changed();
        self.pending_events.push(event);
    }

    /// The settings in force, with the definitions of all class numbers in use.
    pub(super) fn settings_changed(&self) -> Event {
        Event::SettingsChanged(Box::new(Settings {
            classes: self.classes.definitions(),
            ..self.config.settings.clone()
        }))
    }
}
