//! The table of classes by the policy's numbers: the classes of the settings in force, and retired ones that pending
//! messages still refer to. A message keeps the class definition under which it was accepted.

use policy::types::Class;

/// Maximum number of classes, retired ones included. Settings that need more are rejected.
pub const MAX_CLASSES: usize = 1024;

struct Entry {
    name: String,
    class: Class,
    in_force: bool,
}

impl Entry {
    fn in_force(name: &str, class: &Class) -> Self {
        Entry {
            name: name.to_owned(),
            class: class.clone(),
            in_force: true,
        }
    }
}

/// The status of an entry once other classes are put in force.
#[derive(Clone, Copy, PartialEq)]
enum EntryStatus {
    /// It is one of the classes in force.
    InForce,
    /// It is not in force, but a pending message still has its number.
    Retired,
    /// It is not in force, and no message has its number, which may be assigned again.
    Reusable,
}

/// The table of classes.
pub struct Classes {
    entries: Vec<Entry>,
}

impl Classes {
    /// Creates the table from the settings at the start, all classes in force.
    pub fn new(names: &[String], classes: &[Class]) -> Self {
        let classes = names.iter().zip(classes);
        let entries = classes.map(|(name, class)| Entry::in_force(name, class));
        Classes {
            entries: entries.collect(),
        }
    }

    /// The number of definitions, in force or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The policy's number of a class in force; `None` if no class in force has the name.
    pub fn number(&self, name: &str) -> Option<u16> {
        let index = self
            .entries
            .iter()
            .position(|entry| entry.in_force && entry.name == name);
        index.and_then(|index| u16::try_from(index).ok())
    }

    /// The definition of a class in force; `None` if no class in force has the name.
    pub fn class_by_name(&self, name: &str) -> Option<&Class> {
        self.entries
            .get(usize::from(self.number(name)?))
            .map(|entry| &entry.class)
    }

    /// The number of a class with this definition, in force or not.
    pub fn number_of(&self, name: &str, class: &Class) -> Option<u16> {
        let index = self
            .entries
            .iter()
            .position(|entry| entry.name == name && entry.class == *class);
        index.and_then(|index| u16::try_from(index).ok())
    }

    /// The number of the class definition under which a message was accepted, in force or not. A definition that is not
    /// in the table is added as a retired class; `None` if the table is full.
    pub fn number_for_version(&mut self, name: &str, class: &Class) -> Option<u16> {
        self.number_of(name, class).or_else(|| {
            let entry = Entry {
                name: name.into(),
                class: class.clone(),
                in_force: false,
            };
            (self.entries.len() < MAX_CLASSES).then(|| self.entries.push(entry))?;
            u16::try_from(self.entries.len() - 1).ok()
        })
    }

    /// Replaces the classes in force. Returns false, and changes nothing, if the table would exceed [`MAX_CLASSES`]. A
    /// class whose definition changes gets a new number. `in_use` returns whether a message has a number; numbers of
    /// classes that are neither in force nor in use are assigned again.
    pub fn update(
        &mut self,
        names: &[String],
        classes: &[Class],
        in_use: impl Fn(u16) -> bool,
    ) -> bool {
        let statuses = self.statuses_under(names, classes, in_use);
        let reusable: Vec<usize> = (0..self.entries.len())
            .filter(|index| statuses[*index] == EntryStatus::Reusable)
            .collect();
        let added: Vec<Entry> = names
            .iter()
            .zip(classes)
            .filter(|(name, _)| !self.remains_in_force(name, &statuses))
            .map(|(name, class)| Entry::in_force(name, class))
            .collect();
        let additional_entries = added.len().saturating_sub(reusable.len());
        if self.entries.len() + additional_entries > MAX_CLASSES {
            return false;
        }
        for (entry, status) in self.entries.iter_mut().zip(&statuses) {
            entry.in_force = *status == EntryStatus::InForce;
        }
        let mut reusable = reusable.into_iter();
        for entry in added {
            match reusable.next() {
                Some(index) => self.entries[index] = entry,
                None => self.entries.push(entry),
            }
        }
        true
    }

    /// The status of each entry once the named classes are in force.
    fn statuses_under(
        &self,
        names: &[String],
        classes: &[Class],
        in_use: impl Fn(u16) -> bool,
    ) -> Vec<EntryStatus> {
        let is_configured = |entry: &Entry| {
            let position = names.iter().position(|name| *name == entry.name);
            position
                .and_then(|position| classes.get(position))
                .is_some_and(|class| *class == entry.class)
        };
        let is_used = |index: usize| u16::try_from(index).is_ok_and(&in_use);
        let status = |(index, entry): (usize, &Entry)| {
            // Of two equal entries only the first is in force.
            let is_first = !self.entries[..index]
                .iter()
                .any(|other| other.name == entry.name && is_configured(other));
            match is_configured(entry) && is_first {
                true => EntryStatus::InForce,
                false if is_used(index) => EntryStatus::Retired,
                false => EntryStatus::Reusable,
            }
        };
        self.entries.iter().enumerate().map(status).collect()
    }

    fn remains_in_force(&self, name: &str, statuses: &[EntryStatus]) -> bool {
        let mut entries = self.entries.iter().zip(statuses);
        entries.any(|(entry, status)| *status == EntryStatus::InForce && entry.name == name)
    }

    /// The definitions, in the order of their numbers.
    pub fn definitions(&self) -> Vec<Class> {
        self.entries
            .iter()
            .map(|entry| entry.class.clone())
            .collect()
    }

    /// The classes in force.
    pub fn in_force(&self) -> impl Iterator<Item = (&String, &Class)> {
        self.entries
            .iter()
            .filter(|entry| entry.in_force)
            .map(|entry| (&entry.name, &entry.class))
    }
}

#[cfg(test)]
mod tests;
