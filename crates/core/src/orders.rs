//! Orders to engines, given from one place under a fencing number.
