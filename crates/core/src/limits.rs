//! Teams' rates and bursts, held over all instances together.
