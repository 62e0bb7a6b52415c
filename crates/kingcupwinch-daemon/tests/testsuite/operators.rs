//! The operators' command line used against daemons.

use std::fs;
use std::net::SocketAddr;

use kingcupwinch_cli::{Console, Exit, run};
use kingcupwinch_daemon::{Daemon, Running};
use kingcupwinch_fakes::{Availability, LogServer};
use tempfile::TempDir;

use crate::caller::wait_until;
use crate::cluster::{BASE, Cluster, any_port};

/// Name of the configuration file that version 1 was made from.
const BASE_FILE: &str = "10-base.toml";

/// A configuration folder and the daemons to which it is published.
struct OperatorSetup {
    cluster: Cluster,
    /// The log server that the operators use.
    log_server: LogServer,
    daemons: Vec<Running>,
    folder: TempDir,
}

impl OperatorSetup {
    async fn open(daemons: usize) -> Self {
        let cluster = Cluster::start(2).await;
        let folder = TempDir::new().unwrap();
        fs::write(folder.path().join(BASE_FILE), BASE).unwrap();
        let mut running = Vec::new();
        for index in 0..daemons {
            let settings = cluster.settings(&format!("entry-{index}"));
            running.push(Daemon::new(settings).start().await.unwrap());
        }
        OperatorSetup {
            log_server: LogServer::start(&cluster.log, any_port()).await.unwrap(),
            cluster,
            daemons: running,
            folder,
        }
    }

    /// Writes a second file that raises one limit.
    fn write_limits(&self, job_tasks: u32) {
        let text = format!("[limits]\njob_tasks = {job_tasks}\n");
        fs::write(self.folder.path().join("20-limits.toml"), text).unwrap();
    }

    fn operators(&self) -> Vec<SocketAddr> {
        let addresses = self.daemons.iter().map(|d| d.addresses().operators);
        addresses.collect()
    }

    /// Runs a command with the cluster's addresses, and returns its exit and output.
    async fn command(&self, words: &[&str]) -> (Exit, String) {
        let log = self.log_server.address().to_string();
        let mut args = vec!["kingcupwinch"];
        args.extend(words);
        args.extend(["--log", &log]);
        let addresses: Vec<String> = self.operators().iter().map(ToString::to_string).collect();
        for address in &addresses {
            args.extend(["--instance", address]);
        }
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(args, &mut Console::new(&mut out, &mut err)).await;
        out.append(&mut err);
        (exit, String::from_utf8(out).unwrap())
    }

    async fn publish(&self, on: &str) -> (Exit, String) {
        let folder = self.folder.path().display().to_string();
        let words = ["publish", &folder, "--on", on, "--wait-ms", "20000"];
        self.command(&words).await
    }

    /// Waits until each daemon sees `count` members in its group.
    async fn wait_for_members(&self, count: usize) {
        wait_until("every daemon sees the whole group", || async {
            let views = self.statuses().await;
            let mut groups = views.iter().map(|view| &view["status"]["members"]);
            groups.all(|members| members.as_array().is_some_and(|m| m.len() == count))
        })
        .await;
    }

    /// Returns the status of each daemon.
    async fn statuses(&self) -> Vec<serde_json::Value> {
        let (exit, text) = self.command(&["status", "--output", "json"]).await;
        assert_eq!(exit, Exit::Success, "{text}");
        serde_json::from_str(&text).unwrap()
    }

    /// Returns the active configuration version of each daemon.
    async fn versions(&self) -> Vec<u64> {
        let views = self.statuses().await;
        let views = views.iter();
        views
            .map(|view| view["status"]["version"].as_u64().unwrap())
            .collect()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_publication_is_in_force_on_three_daemons() {
    let setup = OperatorSetup::open(3).await;
    setup.write_limits(77);
    let (exit, text) = setup.publish("1").await;
    assert_eq!(exit, Exit::Success, "{text}");
    assert_eq!(text, "version 2 is in force on 3 of 3 instances\n");
    assert_eq!(setup.versions().await, [2, 2, 2]);
    let (_, shown) = setup.command(&["show", "limits.job_tasks"]).await;
    assert_eq!(shown, "limits.job_tasks = 77\n");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_operators_one_wins_everywhere() {
    let setup = OperatorSetup::open(3).await;
    setup.write_limits(78);
    let (one, two) = tokio::join!(setup.publish("1"), setup.publish("1"));
    let mut exits = [one.0.code(), two.0.code()];
    exits.sort_unstable();
    assert_eq!(
        exits,
        [Exit::Success.code(), Exit::Conflict.code()],
        "{one:?} {two:?}"
    );
    assert_eq!(setup.versions().await, [2, 2, 2]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_published_once() {
    let setup = OperatorSetup::open(2).await;
    setup.write_limits(79);
    let appends = config_records(&setup.cluster);
    setup.log_server.drop_responses(1);
    let (exit, text) = setup.publish("1").await;
    assert_eq!(exit, Exit::Success, "{text}");
    assert!(text.contains("may have been appended"), "{text}");
    assert_eq!(config_records(&setup.cluster), appends + 1);
    assert_eq!(setup.versions().await, [2, 2]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_cut_off_from_the_log_takes_the_version_from_a_sibling() {
    let mut setup = OperatorSetup::open(2).await;
    let cut = LogServer::start(&setup.cluster.log, any_port())
        .await
        .unwrap();
    let mut settings = setup.cluster.settings("entry-cut");
    settings.platform.log = cut.address();
    setup
        .daemons
        .push(Daemon::new(settings).start().await.unwrap());
    wait_until(
        "the first version is active on all three daemons",
        || async { setup.versions().await == [1, 1, 1] },
    )
    .await;
    setup.wait_for_members(3).await;
    cut.set_availability(Availability::Unavailable);
    setup.write_limits(80);
    let (exit, text) = setup.publish("1").await;
    assert_eq!(exit, Exit::Success, "{text}");
    assert_eq!(setup.versions().await, [2, 2, 2]);
}

fn config_records(cluster: &Cluster) -> usize {
    cluster.log.records("config").len()
}
