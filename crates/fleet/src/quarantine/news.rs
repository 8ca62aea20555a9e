//! Updates that are sent to other instances several times.

/// The number of reports that include each update, as datagrams may get lost.
const REPEATS: u32 = 4;

/// The largest number of crashes, and of answers, that wait to be reported.
pub const MAX_NEWS: usize = 128;

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

/// Returns the next updates, and removes those that were sent often enough.
pub fn take_news<T: Clone>(news: &mut Vec<News<T>>, max: usize) -> Vec<T> {
    let due = news.iter_mut().take(max);
    let items = due.map(|news| {
        news.left -= 1;
        news.item.clone()
    });
    let items = items.collect();
    news.retain(|news| news.left > 0);
    items
}
