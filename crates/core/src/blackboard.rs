//! The blackboard that an instance's controllers read and write.
