//! Updates that are sent to other instances several times.

use std::cmp::Reverse;

/// The number of reports that include each update, as datagrams may get lost.
const REPEATS: u32 = 4;

/// The largest number of crashes that wait to be reported.
pub const MAX_NEWS: usize = 128;

/// The largest number of answers that wait to be reported.
pub const MAX_SURVIVAL_NEWS: usize = 4 * 1_024;

/// An update and the number of reports left that include it.
#[derive(Debug)]
pub struct News<T> {
    pub item: T,
    left: u32,
}

impl<T> News<T> {
    pub const fn new(item: T) -> Self {
        Self {
            item,
            left: REPEATS,
        }
    }
}

/// Returns the updates that were sent least often, as long as there is `room` for the next one, and
/// removes those that were sent often enough.
pub fn take_news<T: Clone>(news: &mut Vec<News<T>>, mut room: impl FnMut(&T) -> bool) -> Vec<T> {
    let mut due: Vec<&mut News<T>> = news.iter_mut().collect();
    due.sort_by_key(|news| Reverse(news.left));
    let due = due.into_iter().take_while(|news| room(&news.item));
    let items = due.map(|news| {
        news.left -= 1;
        news.item.clone()
    });
    let items = items.collect();
    news.retain(|news| news.left > 0);
    items
}

/// Returns a condition that holds for the first `max` items.
pub fn at_most<T>(max: usize) -> impl FnMut(&T) -> bool {
    let mut items = 0;
    move |_| {
        items += 1;
        items <= max
    }
}
