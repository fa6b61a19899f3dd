//! The classes by the module's numbers: those of the settings in force, and retired ones that messages under way still
//! have. A message keeps the class that it was taken with.

use policy::types::Class;

/// Numbers that are given at most, retired ones among them; settings that need more are turned down.
pub const MOST: usize = 1024;

struct Entry {
    name: String,
    terms: Class,
    in_force: bool,
}

/// The table of classes.
pub struct Classes {
    entries: Vec<Entry>,
}

impl Classes {
    /// The classes of the settings at the start.
    pub fn new(names: &[String], terms: &[Class]) -> Self {
        let entry = |(name, terms): (&String, &Class)| Entry {
            name: name.clone(),
            terms: terms.clone(),
            in_force: true,
        };
        Classes {
            entries: names.iter().zip(terms).map(entry).collect(),
        }
    }

    /// Meanings of classes, in force or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of a class that is in force.
    pub fn number(&self, name: &str) -> Option<u16> {
        let at = self
            .entries
            .iter()
            .position(|entry| entry.in_force && entry.name == name);
        at.and_then(|at| u16::try_from(at).ok())
    }

    /// A class that is in force.
    pub fn class_by_name(&self, name: &str) -> Option<&Class> {
        self.entries
            .get(usize::from(self.number(name)?))
            .map(|entry| &entry.terms)
    }

    /// The number of a class with these terms, in force or not.
    pub fn number_of(&self, name: &str, terms: &Class) -> Option<u16> {
        let at = self
            .entries
            .iter()
            .position(|entry| entry.name == name && entry.terms == *terms);
        at.and_then(|at| u16::try_from(at).ok())
    }

    /// The number of the class that a message was taken under, in force or not; none if there is no room for it.
    pub fn number_for_version(&mut self, name: &str, terms: &Class) -> Option<u16> {
        self.number_of(name, terms).or_else(|| {
            let entry = Entry {
                name: name.into(),
                terms: terms.clone(),
                in_force: false,
            };
            (self.entries.len() < MOST).then(|| self.entries.push(entry))?;
            u16::try_from(self.entries.len() - 1).ok()
        })
    }

    /// Puts other classes in force; false if there is no room, and then nothing has changed. A class that changes is a
    /// new number. `in_use` tells whether a message has a number: those without are given anew.
    pub fn update(
        &mut self,
        names: &[String],
        terms: &[Class],
        in_use: impl Fn(u16) -> bool,
    ) -> bool {
        let same = |entry: &Entry| {
            let at = names.iter().position(|name| *name == entry.name);
            at.and_then(|at| terms.get(at))
                .is_some_and(|terms| *terms == entry.terms)
        };
        let used = |at: usize| u16::try_from(at).is_ok_and(&in_use);
        let mut free: Vec<usize> = Vec::new();
        let mut stay: Vec<(usize, bool)> = Vec::new();
        for (at, entry) in self.entries.iter().enumerate() {
            // Of two equal entries one is enough in force.
            let first = !self.entries[..at]
                .iter()
                .any(|other| other.name == entry.name && same(other));
            match same(entry) && first {
                true => stay.push((at, true)),
                false if used(at) => stay.push((at, false)),
                false => free.push(at),
            }
        }
        let stays = |name: &String| {
            stay.iter()
                .any(|(at, force)| *force && self.entries[*at].name == *name)
        };
        let come: Vec<Entry> = names
            .iter()
            .zip(terms)
            .filter(|(name, _)| !stays(name))
            .map(|(name, terms)| Entry {
                name: name.clone(),
                terms: terms.clone(),
                in_force: true,
            })
            .collect();
        if self.entries.len() + come.len().saturating_sub(free.len()) > MOST {
            return false;
        }
        stay.into_iter()
            .for_each(|(at, force)| self.entries[at].in_force = force);
        free.iter()
            .for_each(|at| self.entries[*at].in_force = false);
        let mut free = free.into_iter();
        for entry in come {
            match free.next() {
                Some(at) => self.entries[at] = entry,
                None => self.entries.push(entry),
            }
        }
        true
    }

    /// What the numbers mean, in their order.
    pub fn definitions(&self) -> Vec<Class> {
        self.entries
            .iter()
            .map(|entry| entry.terms.clone())
            .collect()
    }

    /// The classes in force.
    pub fn in_force(&self) -> impl Iterator<Item = (&String, &Class)> {
        self.entries
            .iter()
            .filter(|entry| entry.in_force)
            .map(|entry| (&entry.name, &entry.terms))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use policy::types::Idempotency;

    fn class(give_up: u64, effect: Idempotency) -> Class {
        Class {
            latency_objective: 1,
            objective_stretch: 0.0,
            time_to_live: give_up,
            idempotency: effect,
            value: 1.0,
            late_value: 0.0,
            is_ordered: false,
        }
    }

    fn names(text: &str) -> Vec<String> {
        text.split(' ').map(String::from).collect()
    }

    #[test]
    fn a_class_that_changes_gets_a_new_number_while_a_message_has_the_old_one() {
        let (safe, unsafe_) = (
            class(9, Idempotency::Idempotent),
            class(9, Idempotency::NonIdempotent),
        );
        let mut classes = Classes::new(&names("a b"), &[safe.clone(), safe.clone()]);
        assert!(classes.update(
            &names("a b"),
            &[unsafe_.clone(), safe.clone()],
            |number| number == 0
        ));
        assert_eq!(classes.number("a"), Some(2));
        assert_eq!(classes.number("b"), Some(1));
        assert_eq!(
            classes.definitions(),
            [safe.clone(), safe.clone(), unsafe_.clone()]
        );
        // Once no message has it, the old number is given anew.
        assert!(classes.update(
            &names("a b c"),
            &[unsafe_.clone(), safe.clone(), safe.clone()],
            |_| false
        ));
        assert_eq!(
            (classes.number("a"), classes.number("c")),
            (Some(2), Some(0))
        );
        assert_eq!(classes.definitions().len(), 3);
    }

    #[test]
    fn a_class_that_goes_and_comes_back_is_unknown_in_between() {
        let safe = class(9, Idempotency::Idempotent);
        let mut classes = Classes::new(&names("a b"), &[safe.clone(), safe.clone()]);
        assert!(classes.update(&names("b"), std::slice::from_ref(&safe), |_| true));
        assert_eq!(classes.number("a"), None);
        assert!(classes.class_by_name("a").is_none());
        // Back with the same terms, it is the number that its messages still have.
        assert!(classes.update(&names("b a"), &[safe.clone(), safe.clone()], |_| true));
        assert_eq!(classes.number("a"), Some(0));
        let other = class(7, Idempotency::NonIdempotent);
        assert!(classes.update(&names("b a"), &[safe.clone(), other.clone()], |_| true));
        assert_eq!(
            (classes.number("a"), classes.class_by_name("a")),
            (Some(2), Some(&other))
        );
    }

    #[test]
    fn a_message_from_before_a_restart_keeps_terms_that_are_in_no_file() {
        let (safe, unsafe_) = (
            class(9, Idempotency::Idempotent),
            class(9, Idempotency::NonIdempotent),
        );
        let mut classes = Classes::new(&names("a"), std::slice::from_ref(&unsafe_));
        assert_eq!(classes.number_for_version("a", &unsafe_), Some(0));
        assert_eq!(classes.number_for_version("a", &safe), Some(1));
        assert_eq!(classes.number_for_version("gone", &safe), Some(2));
        assert_eq!(
            (classes.number("a"), classes.number("gone")),
            (Some(0), None)
        );
    }

    #[test]
    fn numbers_are_bounded_and_settings_that_need_more_change_nothing() {
        let mut classes = Classes::new(&names("a"), &[class(1, Idempotency::Idempotent)]);
        let mut turned_down = 0;
        for give_up in 2..MOST as u64 + 50 {
            let before = classes.definitions();
            if !classes.update(
                &names("a"),
                &[class(give_up, Idempotency::Idempotent)],
                |_| true,
            ) {
                turned_down += 1;
                assert_eq!(classes.definitions(), before);
            }
        }
        assert_eq!((classes.definitions().len(), turned_down), (MOST, 49));
    }
}
