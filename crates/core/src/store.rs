//! The configuration in force: a join of object revisions that never reverts.
