//! The stored objects and records of the platform.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde::Serialize;
use serde_json::Value;

use crate::responses::HttpResponse;
use crate::responses::empty;
use crate::responses::json;

/// A stored configuration object.
#[derive(Clone, Debug, Serialize)]
pub struct Object {
    pub id: String,
    pub revision: u64,
    pub spec: Value,
}

/// A versioned value.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    pub name: String,
    pub revision: u64,
    pub value: Value,
    #[serde(skip)]
    expires_at: Option<Instant>,
}

/// The outcome of a conditional write.
pub enum WriteOutcome {
    /// The write took effect; contains the new object or record, or the deleted
    /// record.
    Written(Value),
    /// Another revision is current; contains the current object or record, or `null`.
    Conflict(Value),
    /// The name does not exist.
    NotFound,
}

impl WriteOutcome {
    pub fn into_response(self) -> HttpResponse {
        match self {
            Self::Written(value) => json(StatusCode::OK, &value),
            Self::Conflict(value) => json(StatusCode::CONFLICT, &value),
            Self::NotFound => empty(StatusCode::NOT_FOUND),
        }
    }
}

/// The state that persists across restarts of instances.
#[derive(Debug, Serialize)]
pub struct Store {
    revision: u64,
    record_revision: u64,
    objects: BTreeMap<String, Object>,
    records: BTreeMap<String, BTreeMap<String, Record>>,
    #[serde(skip)]
    history: VecDeque<Object>,
    #[serde(skip)]
    history_limit: usize,
    /// The revision of the last change removed from the history.
    #[serde(skip)]
    forgotten: u64,
}

impl Store {
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: 0,
            record_revision: 0,
            objects: BTreeMap::new(),
            records: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            forgotten: 0,
        }
    }

    pub const fn revision(&self) -> u64 {
        self.revision
    }

    pub fn object(&self, id: &str) -> Option<&Object> {
        self.objects.get(id)
    }

    pub fn objects(&self) -> Vec<&Object> {
        self.objects.values().collect()
    }

    /// Returns the changes after `revision`, or `None` if the history no longer covers
    /// them.
    pub fn changes_after(&self, revision: u64) -> Option<Vec<Object>> {
        if revision < self.forgotten {
            return None;
        }
        let changes = self.history.iter();
        Some(
            changes
                .filter(|change| change.revision > revision)
                .cloned()
                .collect(),
        )
    }

    pub fn put_object(&mut self, id: &str, expected: u64, spec: Value) -> WriteOutcome {
        let current = self.objects.get(id);
        if current.map_or(0, |object| object.revision) != expected {
            return WriteOutcome::Conflict(to_value(&current));
        }
        self.revision += 1;
        let object = Object {
            id: id.to_owned(),
            revision: self.revision,
            spec,
        };
        let outcome = WriteOutcome::Written(to_value(&object));
        self.history.push_back(object.clone());
        self.objects.insert(id.to_owned(), object);
        if self.history.len() > self.history_limit
            && let Some(oldest) = self.history.pop_front()
        {
            self.forgotten = oldest.revision;
        }
        outcome
    }

    pub fn record(&mut self, collection: &str, name: &str) -> Option<Record> {
        self.remove_expired();
        self.records.get(collection)?.get(name).cloned()
    }

    pub fn records(&mut self, collection: &str) -> Vec<Record> {
        self.remove_expired();
        let records = self.records.get(collection);
        records.map_or_else(Vec::new, |records| records.values().cloned().collect())
    }

    pub fn put_record(
        &mut self,
        collection: &str,
        name: &str,
        expected: u64,
        value: Value,
        ttl: Option<Duration>,
    ) -> WriteOutcome {
        let current = self.record(collection, name);
        if current.as_ref().map_or(0, |record| record.revision) != expected {
            return WriteOutcome::Conflict(to_value(&current));
        }
        self.record_revision += 1;
        let record = Record {
            name: name.to_owned(),
            revision: self.record_revision,
            value,
            expires_at: ttl.map(|ttl| Instant::now() + ttl),
        };
        let outcome = WriteOutcome::Written(to_value(&record));
        let records = self.records.entry(collection.to_owned()).or_default();
        records.insert(name.to_owned(), record);
        outcome
    }

    pub fn delete_record(&mut self, collection: &str, name: &str, expected: u64) -> WriteOutcome {
        let Some(current) = self.record(collection, name) else {
            return WriteOutcome::NotFound;
        };
        if current.revision != expected {
            return WriteOutcome::Conflict(to_value(&current));
        }
        if let Some(records) = self.records.get_mut(collection) {
            records.remove(name);
        }
        WriteOutcome::Written(to_value(&current))
    }

    fn remove_expired(&mut self) {
        let now = Instant::now();
        let is_kept = |record: &Record| record.expires_at.is_none_or(|at| at > now);
        for records in self.records.values_mut() {
            records.retain(|_, record| is_kept(record));
        }
    }
}

fn to_value(item: &impl Serialize) -> Value {
    serde_json::to_value(item).expect("stored items serialize to JSON")
}
