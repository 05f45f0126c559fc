use super::*;
use bytes::Bytes;

#[test]
fn each_end_counts_once_under_its_class() {
    let mut figures = Figures::new(2);
    for (class, end) in [
        (0, Final::Value(Bytes::new())),
        (0, Final::NoValue),
        (0, Final::Busy(5)),
        (1, Final::Failed),
        (7, Final::Failed),
    ] {
        figures.count(class, &end);
    }
    let held = Held {
        sends: 9,
        current: 4,
        cluster_size: 20,
        cluster_unhealthy: 3,
        cluster_outliers: 2,
        origin_jam: true,
    };
    let text = figures.text(|i| ["trace-read", "alarm-set"][i], held);
    assert_eq!(
        text,
        "answered.trace-read=2\ndeferred.trace-read=1\nerrored.trace-read=0\nanswered.alarm-set=0\n\
         deferred.alarm-set=0\nerrored.alarm-set=1\nsends=9\ncurrent=4\ncluster_size=20\n\
         cluster_unhealthy=3\ncluster_outliers=2\norigin_jam=1\n"
    );
}
