//! Tests whole sessions of an operator against snapshots.

use std::fs;

use kingcupwinch_cli::Exit;
use kingcupwinch_coord::id::Offset;
use kingcupwinch_fakes::{Availability, FakeLog, LogServer};
use rstest::rstest;

use crate::common::{
    FakeInstance, Session, assert_session, copy_example, example, run_command, text,
};

async fn start_log_server(log: &FakeLog) -> LogServer {
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    LogServer::start(log, address)
        .await
        .expect("a port is free")
}

#[tokio::test]
async fn the_first_day() {
    let log = FakeLog::new();
    let log_server = start_log_server(&log).await;
    let instance = FakeInstance::start("harju-a-e1", 1).await;
    let dir = copy_example("event-sound-hire");
    let folder = text(dir.path());
    let addresses = format!(
        "--log {} --instance {}",
        log_server.address(),
        instance.address
    );
    let mut session = Session::new()
        .name(&addresses, "ADDRESSES")
        .name(&folder, "DIR")
        .name(instance.address, "INSTANCE");

    session.run(&format!("check {folder}")).await;
    session.run(&format!("show {addresses}")).await;
    session
        .run(&format!(
            "publish {folder} --on 0 --author liis {addresses}"
        ))
        .await;
    session
        .run(&format!("show classes.van-dispatch.task {addresses}"))
        .await;
    session.run(&format!("diff {folder} {addresses}")).await;
    fs::write(
        dir.path().join("95-rain.toml"),
        "[classes.van-dispatch]\nleast = 0.3\n[objectives.coverage-plan]\nwaiting_ms = 9\n[customers.touring]\nremove = true\n",
    )
    .unwrap();
    session.run(&format!("diff {folder} {addresses}")).await;
    instance.set_version(2);
    session
        .run(&format!(
            "publish {folder} --on 1 --author liis {addresses}"
        ))
        .await;
    session
        .run(&format!(
            "publish {folder} --on 1 --author jaan {addresses}"
        ))
        .await;
    session
        .run(&format!("show classes.van-dispatch.least {addresses}"))
        .await;
    session
        .run(&format!(
            "show classes.van-dispatch.least --version 1 {addresses}"
        ))
        .await;
    session.run(&format!("show --version 9 {addresses}")).await;
    session.run(&format!("show no.such.path {addresses}")).await;
    session.run(&format!("history {addresses}")).await;
    session
        .run(&format!("status --workers --instance {}", instance.address))
        .await;
    assert_session!("the_first_day", session);
    assert_eq!(log.appends(), 2);
}

#[tokio::test]
async fn a_faulty_folder() {
    let dir = copy_example("magnolia-frame-studio");
    let folder = text(dir.path());
    fs::write(
        dir.path().join("95-faulty.toml"),
        "[classes.set-booking]\nleast = 0.9\nmost = 0.5\nleest = 1\n[classes.reel-layout]\ngang_most = 400\n",
    )
    .unwrap();
    let mut session = Session::new().name(&folder, "DIR");
    session.run(&format!("check {folder}")).await;
    session.run(&format!("check {folder} --output json")).await;
    session
        .run(&format!("publish {folder} --on 0 --log 127.0.0.1:1"))
        .await;
    assert_session!("a_faulty_folder", session);
}

#[tokio::test]
async fn the_list_of_faults_is_truncated() {
    let dir = copy_example("event-sound-hire");
    let lines: String = (0..100).map(|i| format!("x{i} = 1\n")).collect();
    fs::write(dir.path().join("95.toml"), format!("[limits]\n{lines}")).unwrap();
    let ran = run_command(&format!("kingcupwinch check {}", text(dir.path()))).await;
    assert_eq!(ran.exit, Exit::Failure);
    assert_eq!(ran.err.lines().count(), 22, "{}", ran.err);
    assert!(ran.err.contains("... and 80 more"), "{}", ran.err);
}

#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_back() {
    let log = FakeLog::new();
    let log_server = start_log_server(&log).await;
    log_server.drop_responses(1);
    let mut session = Session::new()
        .name(log_server.address(), "LOG")
        .name(example(""), "EXAMPLES/");
    let folder = example("event-sound-hire");
    let exit = session
        .run(&format!(
            "publish {folder} --on 0 --log {}",
            log_server.address()
        ))
        .await;
    assert_eq!(exit, Exit::Success);
    assert_eq!(log.appends(), 1);
    assert_session!("a_lost_answer", session);
}

#[tokio::test]
async fn two_publications_have_one_winner() {
    let log = FakeLog::new();
    let log_server = start_log_server(&log).await;
    let folder = example("event-sound-hire");
    let line = |author: &str| {
        format!(
            "kingcupwinch publish {folder} --on 0 --author {author} --log {}",
            log_server.address()
        )
    };
    let (liis, jaan) = (line("liis"), line("jaan"));
    let (one, two) = tokio::join!(run_command(&liis), run_command(&jaan));
    let winners = [&one, &two]
        .iter()
        .filter(|ran| ran.exit == Exit::Success)
        .count();
    let losers = [&one, &two]
        .iter()
        .filter(|ran| ran.exit == Exit::Conflict)
        .count();
    assert_eq!((winners, losers), (1, 1), "{}{}", one.err, two.err);
}

#[rstest]
#[case(Availability::Unavailable)]
#[case(Availability::Unresponsive)]
#[tokio::test]
async fn an_unreachable_log_changes_nothing(#[case] reach: Availability) {
    let log = FakeLog::new();
    let log_server = start_log_server(&log).await;
    log_server.set_availability(reach);
    let folder = example("event-sound-hire");
    let line = format!(
        "kingcupwinch publish {folder} --on 0 --timeout-ms 50 --log {}",
        log_server.address()
    );
    let ran = run_command(&line).await;
    assert_eq!(ran.exit, Exit::Unreachable, "{}", ran.err);
    assert!(ran.err.contains("nothing was changed"), "{}", ran.err);
    assert_eq!(log.appends(), 0);
}

#[tokio::test]
async fn an_instance_that_is_behind_is_named() {
    let log = FakeLog::new();
    let log_server = start_log_server(&log).await;
    let ahead = FakeInstance::start("harju-a-e1", 1).await;
    let behind = FakeInstance::start("harju-b-e1", 0).await;
    let folder = example("event-sound-hire");
    let mut session = Session::new()
        .name(log_server.address(), "LOG")
        .name(ahead.address, "AHEAD")
        .name(behind.address, "BEHIND")
        .name(&folder, "DIR");
    let exit = session
        .run(&format!(
            "publish {folder} --on 0 --wait-ms 50 --log {} --instance {} --instance {} --instance 127.0.0.1:1",
            log_server.address(),
            ahead.address,
            behind.address
        ))
        .await;
    assert_eq!(exit, Exit::Pending);
    assert_session!("an_instance_behind", session);
}

#[tokio::test]
async fn a_truncated_history_is_refused() {
    let log = FakeLog::new();
    let log_server = start_log_server(&log).await;
    let folder = example("event-sound-hire");
    let address = log_server.address();
    for on in 0..2 {
        run_command(&format!(
            "kingcupwinch publish {folder} --on {on} --log {address}"
        ))
        .await;
    }
    log.expire_before("config", Offset(1));
    let ran = run_command(&format!(
        "kingcupwinch publish {folder} --on 2 --log {address}"
    ))
    .await;
    assert_eq!(ran.exit, Exit::Unreachable, "{}", ran.err);
    assert!(
        ran.err.contains("no longer holds the whole configuration"),
        "{}",
        ran.err
    );
    assert_eq!(log.appends(), 2);
}

#[tokio::test]
async fn invalid_records_in_the_stream_are_skipped() {
    let log = FakeLog::new();
    let log_server = start_log_server(&log).await;
    log.append("config", &b"\xff\x00not a record"[..]);
    let folder = example("event-sound-hire");
    let ran = run_command(&format!(
        "kingcupwinch publish {folder} --on 0 --log {}",
        log_server.address()
    ))
    .await;
    assert_eq!(ran.exit, Exit::Success, "{}", ran.err);
}

#[tokio::test]
async fn draining() {
    let one = FakeInstance::start("harju-a-e1", 1).await;
    let two = FakeInstance::start("harju-a-e2", 1).await;
    let mut session = Session::new()
        .name(one.address, "ONE")
        .name(two.address, "TWO");
    let both = format!("--instance {} --instance {}", one.address, two.address);
    session.run(&format!("drain instance {both}")).await;
    session
        .run(&format!("drain instance --instance {}", one.address))
        .await;
    session
        .run(&format!("drain worker harju-a-w01 {both}"))
        .await;
    session
        .run(&format!("drain worker harju-a-w99 {both}"))
        .await;
    session.run(&format!("drain worker ../x {both}")).await;
    session.run("drain instance --instance 127.0.0.1:1").await;
    assert_session!("draining", session);
    assert_eq!(one.posts(), ["/v1/drain", "/v1/workers/harju-a-w01/drain"]);
    assert_eq!(two.posts(), ["/v1/workers/harju-a-w01/drain"]);
}

#[tokio::test]
async fn arguments_override_the_settings_file() {
    let instance = FakeInstance::start("harju-a-e1", 4).await;
    let dir = tempfile::TempDir::new().unwrap();
    let path = dir.path().join("kingcupwinch.toml");
    fs::write(&path, format!("instances = [\"{}\"]", instance.address)).unwrap();
    let mut session = Session::new()
        .name(text(&path), "FILE")
        .name(instance.address, "INSTANCE");
    session
        .run(&format!("status --settings {}", text(&path)))
        .await;
    session
        .run(&format!(
            "status --settings {} --instance 127.0.0.1:1",
            text(&path)
        ))
        .await;
    session
        .run(&format!("show --settings {}", text(&path)))
        .await;
    fs::write(&path, "log = \"loghost:7000\"").unwrap();
    session
        .run(&format!("show --settings {}", text(&path)))
        .await;
    assert_session!("settings", session);
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[tokio::test]
async fn completions_name_the_subcommands(#[case] shell: &str) {
    let ran = run_command(&format!("kingcupwinch completions {shell}")).await;
    assert_eq!(ran.exit, Exit::Success);
    assert!(ran.out.contains("publish") && ran.out.contains("burn"));
}

#[tokio::test]
async fn a_shard_with_two_dispatchers_is_shown() {
    let one = FakeInstance::start("harju-a-e1", 1).await;
    let two = FakeInstance::start("harju-a-e2", 1).await;
    let mut session = Session::new()
        .name(one.address, "ONE")
        .name(two.address, "TWO");
    let line = format!(
        "status --instance {} --instance {}",
        one.address, two.address
    );
    session.run(&line).await;
    assert_session!("contested", session);
}
