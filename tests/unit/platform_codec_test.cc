// Codecs of the users' platform: decoding of valid input, and refusal of malformed input.
#include <criterion/criterion.h>

#include <string>

#include "platform/configuration_codec.h"
#include "platform/executor_codec.h"
#include "platform/job_codec.h"
#include "platform/names.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::adapters::HttpRequest;
using zinniamux::core::CallHold;
using zinniamux::core::CallStart;
using zinniamux::core::ExecutorTime;
using zinniamux::core::JobReply;
using zinniamux::core::JobResult;
using zinniamux::core::QueueRule;
using zinniamux::core::RunOutcome;
using zinniamux::core::StartAnswer;

constexpr char kAnnouncement[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",)"
    R"("capacity":{"cpu":32000,"mem_mb":65536,"gpu":0},"labels":["a","r1"],"clock_ms":482113,)"
    R"("seq":4,"born":1700000000000})";

std::string Without(std::string text, const std::string& part) {
  text.erase(text.find(part), part.size());
  return text;
}

}  // namespace

// Guards against an executor that is registered with a wrong capacity, lifetime or clock.
Test(executor_codec, reads_an_announcement) {
  const auto decoded = zinniamux::platform::ParseExecutorAnnouncement("i-1", kAnnouncement);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->address, "10.0.0.1:80");
  cr_assert_eq(decoded->status.id, "i-1");
  cr_assert_eq(decoded->status.capacity.cpu_milli, 32000);
  cr_assert_eq(decoded->status.born_ms, 1700000000000);
  cr_assert_eq(decoded->status.clock.count(), 482113);
  cr_assert_eq(decoded->status.labels.size(), 2);
  cr_assert_not(decoded->status.draining);
  cr_assert_eq(decoded->status.zone, "z");
  cr_assert_eq(decoded->status.cold_left.count(), 0);
}

// Guards against an executor that is shut out by a zone or a cold time that cannot be read, and
// against a cold executor that is taken for a warm one.
Test(executor_codec, reads_the_zone_and_the_cold_time) {
  const std::string good = kAnnouncement;
  const auto with = [&good](const std::string& field) {
    return zinniamux::platform::ParseExecutorAnnouncement("i-1", "{" + field + "," + good.substr(1))
        ->status;
  };
  cr_assert_eq(with(R"("cold_left_ms":1500)").cold_left.count(), 1500);
  for (const char* odd : {"-1", "null", "\"soon\"", "1e300", "[]"}) {
    cr_assert_eq(with(R"("cold_left_ms":)" + std::string(odd)).cold_left.count(), 0, "%s", odd);
  }
  const auto odd_zone = zinniamux::platform::ParseExecutorAnnouncement(
      "i-1", R"({"zone":7,)" + Without(good, R"("zone":"z",)").substr(1));
  cr_assert(odd_zone.has_value());
  cr_assert_eq(odd_zone->status.zone, "");
}

// Guards against malformed announcements that register an executor.
Test(executor_codec, refuses_malformed_announcements) {
  const std::string good = kAnnouncement;
  const std::string bad[] = {
      "",
      "\xff\xfe",
      "[]",
      "{\"service\":",
      Without(good, R"("service":"s",)"),
      Without(good, R"("seq":4,)"),
      Without(good, R"("capacity":{"cpu":32000,"mem_mb":65536,"gpu":0},)"),
      Without(good, R"("clock_ms":482113,)"),
      good.substr(0, good.find("ready")) + "resting" + good.substr(good.find("ready") + 5),
      good.substr(0, good.find("32000")) + "\"x\"" + good.substr(good.find("32000") + 5),
      good.substr(0, good.find("32000")) + "-1" + good.substr(good.find("32000") + 5),
      good.substr(0, good.find("[\"a\"")) + "7" + good.substr(good.find(",\"clock")),
  };
  for (const std::string& body : bad) {
    cr_assert_not(zinniamux::platform::ParseExecutorAnnouncement("i-1", body).has_value(), "%s",
                  body.c_str());
  }
}

// Guards against numbers out of range that are accepted: turned negative, they would be a negative
// capacity; a huge sequence number, time of start or clock would make every later announcement look
// outdated.
Test(executor_codec, refuses_numbers_out_of_range) {
  for (const char* field : {R"("cpu":32000)", R"("mem_mb":65536)", R"("seq":4)",
                            R"("clock_ms":482113)", R"("born":1700000000000)"}) {
    const std::string good = kAnnouncement;
    const std::string name(field, std::string_view(field).find(':') + 1);
    for (const char* number : {"9223372036854775808", "18446744073709551615", "9223372036854775807",
                               "1e300", "1e999", "-1", "-9223372036854775808", "9.3e18"}) {
      std::string body = good;
      body.replace(good.find(field), std::string_view(field).size(), name + number);
      cr_assert_not(zinniamux::platform::ParseExecutorAnnouncement("i-1", body).has_value(), "%s",
                    body.c_str());
    }
  }
}

// Guards against announcements that cannot be passed on: an id that is no text makes every message
// to dispatchers malformed, and labels are part of each report.
Test(executor_codec, refuses_unusable_ids_and_labels) {
  const auto accepts = [](const std::string& id, const std::string& body) {
    return zinniamux::platform::ParseExecutorAnnouncement(id, body).has_value();
  };
  for (const std::string& id : {std::string(), std::string("i-\xff"), std::string("i 1"),
                                std::string("i\n"), std::string(100'000, 'i')}) {
    cr_assert_not(accepts(id, kAnnouncement), "%s", id.substr(0, 100).c_str());
  }
  const auto with_labels = [](const std::string& labels) {
    const std::string good = kAnnouncement;
    return good.substr(0, good.find("[\"a\"")) + labels + good.substr(good.find(",\"clock"));
  };
  cr_assert(accepts("i-1", with_labels(R"(["a","r1"])")));
  std::string many = "[\"a\"";
  for (int i = 0; i < 5000; ++i) many += ",\"b\"";
  for (const std::string& labels :
       {std::string("7"), std::string(R"({"a":1})"), std::string(R"(["a",7])"), many + "]",
        "[\"" + std::string(100'000, 'x') + "\"]"}) {
    cr_assert_not(accepts("i-1", with_labels(labels)), "%s", labels.substr(0, 100).c_str());
  }
}

// Guards against log lines as long as a malformed announcement.
Test(executor_codec, refusals_have_a_short_reason) {
  const std::string good = kAnnouncement;
  const std::string text(100'000, 'x');
  std::string state = good;
  state.replace(good.find("ready"), 5, text);
  std::string address = good;
  address.replace(good.find("10.0.0.1"), 8, text);
  for (const std::string& body : {state, address, "\"" + text}) {
    const auto decoded = zinniamux::platform::ParseExecutorAnnouncement("i-1", body);
    cr_assert_not(decoded.has_value());
    cr_assert_leq(decoded.error().message.size(), 300);
  }
}

// Guards against bodies nested so deeply that using them ends the process.
Test(codec_depth, refuses_deeply_nested_bodies) {
  constexpr std::size_t kDepth = 200'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto with_field = [&nested](std::string body) {
    return body.insert(1, R"("other":)" + nested + ",");
  };
  for (const std::string& body : {nested, with_field(kAnnouncement)}) {
    cr_assert_not(zinniamux::platform::ParseExecutorAnnouncement("i-1", body).has_value());
  }
  cr_assert_not(zinniamux::platform::ParseHoldResult(
                    200, with_field(R"({"clock_ms":9,"running":[],"ended":[]})"))
                    .has_value());
  cr_assert_not(
      zinniamux::platform::ParseJob(with_field(R"({"spec":"s","steps":[{"cpu":1}]})")).has_value());
  cr_assert_not(zinniamux::platform::ParseConfiguration(with_field(R"({"version":1,"routes":[]})"))
                    .has_value());
  cr_assert(
      zinniamux::platform::ParseStartResult(409, with_field(R"({"reason":"fence"})")).answer ==
      StartAnswer::kRejected);
}

// Guards against run numbers that wrap to those of other runs, and against undefined conversions.
Test(executor_codec, refuses_run_numbers_out_of_range) {
  const auto decode = [](const std::string& row) {
    return zinniamux::platform::ParseHoldResult(
        200, R"({"clock_ms":9,"born":5,"ended":[],"running":[)" + row + "]}");
  };
  cr_assert_not(decode(R"(["ab.0.1.17",4294967298,"",41])").has_value());
  cr_assert_not(decode(R"(["ab.0.1.17",1e300,"",41])").has_value());
  cr_assert_not(decode(R"(["ab.0.1.17",-1,"",41])").has_value());
  for (const char* percent : {"1e300", "-1e300", "-1", "18446744073709551615", "\"x\""}) {
    const auto decoded = decode(R"(["ab.0.1.17",2,"",)" + std::string(percent) + "]");
    cr_assert(decoded.has_value(), "%s", percent);
    const auto& reported = decoded->running.at(0).percent;
    cr_assert(reported >= 0 && reported <= 100, "%s", percent);
  }
  cr_assert_not(zinniamux::platform::ParseHoldResult(
                    200, R"({"clock_ms":9223372036854775807,"born":5,"running":[],"ended":[]})")
                    .has_value());
}

// Guards against one answer to a start being mistaken for another: the answer decides whether the
// task may be started on another executor.
Test(executor_codec, distinguishes_start_answers) {
  const auto answer = [](int status, const std::string& body) {
    return zinniamux::platform::ParseStartResult(status, body).answer;
  };
  cr_assert(answer(0, "") == StartAnswer::kNone);
  cr_assert(answer(200, R"({"clock_ms":1})") == StartAnswer::kStarted);
  cr_assert(answer(409, R"({"clock_ms":1,"reason":"fence"})") == StartAnswer::kFenced);
  cr_assert(answer(409, R"({"clock_ms":1,"reason":"old"})") == StartAnswer::kOutdated);
  cr_assert(answer(409, R"({"clock_ms":1,"reason":"late"})") == StartAnswer::kLeaseExpired);
  cr_assert(answer(409, R"({"clock_ms":1,"reason":"room"})") == StartAnswer::kNoRoom);
  cr_assert(answer(409, R"({"clock_ms":1e300,"reason":"fence"})") == StartAnswer::kFenced);
  cr_assert(answer(409, R"({"clock_ms":1,"reason":7})") == StartAnswer::kRejected);
  cr_assert(answer(409, "") == StartAnswer::kRejected);
  cr_assert(answer(429, "") == StartAnswer::kUnhealthy);
  cr_assert(answer(503, "{}") == StartAnswer::kUnhealthy);
  cr_assert(answer(421, "") == StartAnswer::kUnhealthy);
  cr_assert(answer(400, "") == StartAnswer::kRejected);
  // These do not say that nothing was started.
  cr_assert(answer(500, "") == StartAnswer::kNone);
  cr_assert(answer(502, "") == StartAnswer::kNone);
  cr_assert(answer(504, "") == StartAnswer::kNone);
  cr_assert(answer(404, "") == StartAnswer::kNone);
  cr_assert_eq(zinniamux::platform::ParseStartResult(409, R"({"clock_ms":77,"reason":"late"})")
                   .clock->count(),
               77);
}

// Guards against confusion of the step, index and run number of a run.
Test(executor_codec, reads_running_and_ended_runs) {
  const auto decoded = zinniamux::platform::ParseHoldResult(
      200,
      R"({"clock_ms":9,"born":5,"running":[["ab.0.1.17",2,"cp",41,7]],"ended":[[58,"ab.0.1.9",1,"done",""]]})");
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->born_ms, 5);
  cr_assert_eq(decoded->running.at(0).id.task.job_id, "ab");
  cr_assert_eq(decoded->running.at(0).id.task.step, 1);
  cr_assert_eq(decoded->running.at(0).id.task.index, 17);
  cr_assert_eq(decoded->running.at(0).id.run, 2);
  cr_assert_eq(decoded->running.at(0).percent, 41);
  cr_assert_eq(decoded->ended.at(0).number, 58);
  cr_assert(decoded->ended.at(0).outcome == RunOutcome::kDone);
  for (const char* body : {"", "{}", R"({"clock_ms":9,"running":[[1]],"ended":[]})",
                           R"({"clock_ms":9,"running":[],"ended":[[1,"a.b",1,"done",""]]})"}) {
    cr_assert_not(zinniamux::platform::ParseHoldResult(200, body).has_value(), "%s", body);
  }
  cr_assert_not(zinniamux::platform::ParseHoldResult(503, "{}").has_value());
}

// Guards against calls in a format that the executor does not accept.
Test(executor_codec, composes_calls) {
  const CallStart start{.id = {.task = {.job_id = "ab", .step = 1, .index = 17}, .run = 2},
                        .spec = "text",
                        .lease_until = ExecutorTime(486000),
                        .fencing_token = 7};
  cr_assert_eq(zinniamux::platform::ComposeStart(start),
               R"({"fence":7,"run":2,"spec":"text","task":"ab.0.1.17","until_ms":486000})");
  cr_assert_eq(zinniamux::platform::ComposeHold(
                   CallHold{.fencing_token = 7, .last_seen = 57, .wait = milliseconds(250)}),
               R"({"fence":7,"last_seen":57,"wait_ms":250})");
}

// Guards against a job that runs with other resources, steps or limits than its caller specified.
Test(job_codec, reads_a_job) {
  const auto job = zinniamux::platform::ParseJob(
      R"({"spec":"s","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
      R"("data_rack":"r1-3"},{"cpu":2000,"after":[0],"required_label":"b","max_per_server":2,)"
      R"("same_rack":true}]})");
  cr_assert(job.has_value());
  cr_assert_not(job->features.durable);
  cr_assert_not(job->features.special_scheduling);
  const auto& steps = job->request.steps;
  cr_assert_eq(steps.at(0).count, 4);
  cr_assert_eq(steps.at(0).need.cpu_milli, 500);
  cr_assert_eq(steps.at(0).estimate.count(), 900);
  cr_assert_eq(steps.at(0).preferred_rack, "r1-3");
  cr_assert_eq(steps.at(1).count, 1);
  cr_assert_eq(steps.at(1).after.at(0), 0);
  cr_assert_eq(steps.at(1).required_label, "b");
  cr_assert_eq(steps.at(1).max_per_executor, 2);
  cr_assert(steps.at(1).prefers_one_rack);
  cr_assert_not(steps.at(0).prefers_one_rack);
}

// Guards against durable jobs, which would not be stored, and jobs with special scheduling being
// accepted.
Test(job_codec, marks_unsupported_features) {
  cr_assert(zinniamux::platform::ParseJob(R"({"spec":"s","steps":[{"cpu":1}]})")->features.durable);
  cr_assert(zinniamux::platform::ParseJob(
                R"({"best_effort":true,"steps":[{"cpu":1,"count":2,"gang":true}]})")
                ->features.special_scheduling);
}

// Guards against crashes on malformed jobs and against jobs that are decoded in part.
Test(job_codec, refuses_malformed_jobs) {
  for (const char* body :
       {"", "{}", "[1]", "\xc3\x28", R"({"steps":[]})", R"({"steps":{}})", R"({"steps":[7]})",
        R"({"steps":[{"cpu":"x"}]})", R"({"steps":[{"cpu":-1}]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":1e99}]})", R"({"steps":[{"after":[0]}]})",
        R"({"steps":[{"after":[-1]}]})", R"({"steps":[{}],"spec":7})"}) {
    cr_assert_not(zinniamux::platform::ParseJob(body).has_value(), "%s", body);
  }
}

// Guards against paths with an invalid id that are accepted as a job of the queue.
Test(job_codec, reads_the_id_from_the_path) {
  const QueueRule queue{.prefix = "/q/"};
  cr_assert_eq(zinniamux::platform::ParseJobId("/q/5c0e7a21d94b36f8", queue).value(),
               "5c0e7a21d94b36f8");
  cr_assert_eq(zinniamux::platform::ParseJobId("/q/", queue).value(), "");
  cr_assert_not(zinniamux::platform::ParseJobId("/q/5c0e7a21d94b36f", queue).has_value());
  cr_assert_not(zinniamux::platform::ParseJobId("/q/5c0e7a21d94b36fg", queue).has_value());
}

// Guards against callers mistaking a refused job, which has not run, for an abandoned one, which
// may have run, and the other way round.
Test(job_codec, distinguishes_refused_from_abandoned_jobs) {
  const auto status = [](JobResult result) {
    return zinniamux::platform::ComposeAnswer({.result = result}).status;
  };
  cr_assert_eq(status(JobResult::kComplete), 200);
  cr_assert_eq(status(JobResult::kFailed), 200);
  cr_assert_eq(status(JobResult::kRefused), 503);
  cr_assert_eq(status(JobResult::kAbandoned), 504);
  const auto refusal = zinniamux::platform::ComposeRefusal("overloaded", milliseconds(1200));
  cr_assert_eq(refusal.headers.at(0).first, "Retry-After");
  cr_assert_eq(refusal.headers.at(0).second, "2");
}

// Guards against a wrong deadline for a job, and against invalid deadline headers being accepted.
Test(job_codec, reads_caller_timeout) {
  const auto caller_timeout = [](const std::string& text) {
    HttpRequest request;
    request.headers = {{std::string(zinniamux::platform::kDeadlineHeader), text}};
    return zinniamux::platform::ParseCallerTimeout(request);
  };
  cr_assert_eq(caller_timeout("1500")->count(), 1500);
  for (const char* text : {"", "x", "0", "-5", "99999999999999999999"}) {
    cr_assert_not(caller_timeout(text).has_value(), "%s", text);
  }
}

// Guards against a configuration that is decoded in part, and against malformed ones being
// accepted.
Test(configuration_codec, reads_queues) {
  const auto decoded = zinniamux::platform::ParseConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"non_idempotent",)"
      R"("timeout_ms":1500,"slo_ms":60,"priority":2,"service":"s","attempts":4,"stretch":1.6}],)"
      R"("services":[],"limits":{}})");
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->version, 7);
  const QueueRule& queue = decoded->queues.at(0);
  cr_assert_eq(queue.prefix, "/p/");
  cr_assert_eq(queue.priority, 2);
  cr_assert_eq(queue.attempts, 4);
  cr_assert_eq(queue.slack.count(), 60);
  cr_assert_eq(queue.timeout.count(), 1500);
  cr_assert_float_eq(queue.stretch, 1.6, 1e-9);
  for (const char* body :
       {"", "{}", R"({"version":1})", R"({"version":"x","routes":[]})",
        R"({"version":1,"routes":[{"name":"r"}]})",
        R"({"version":9223372036854775808,"routes":[]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","stretch":-1}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","stretch":1e300}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","slo_ms":9e18}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","timeout_ms":9e18}]})"}) {
    cr_assert_not(zinniamux::platform::ParseConfiguration(body).has_value(), "%s", body);
  }
}

// Guards against errors that repeat the client's input: a text of 1 MiB in the answer and in each
// of the log lines that wait for the log's thread.
Test(job_codec, keeps_errors_short) {
  constexpr std::size_t kMaxMessageBytes = 256;
  const std::string long_text(1U << 20U, 'x');
  for (const std::string& body :
       {'"' + long_text, "{\"" + long_text + "\":\"\\q\"}", "{\"steps\":[" + long_text + "]}"}) {
    const auto job = zinniamux::platform::ParseJob(body);
    cr_assert(!job.has_value());
    cr_expect_lt(job.error().message.size(), kMaxMessageBytes, "%zu", job.error().message.size());
  }
}

// Guards against documents that take far more memory than their bytes: 1 MiB of empty objects took
// 40 MiB while it was parsed, a third of the smallest VM.
Test(job_codec, refuses_bodies_with_too_many_values_before_they_are_parsed) {
  constexpr std::size_t kValues = 140'000;
  std::string objects;
  for (std::size_t i = 0; i < kValues; ++i) objects += "{},";
  const auto job =
      zinniamux::platform::ParseJob(R"({"steps":[{"count":1}],"note":[)" + objects + "0]}");
  cr_assert(!job.has_value());
  cr_expect_eq(job.error().message, "the body has too many values", "%s",
               job.error().message.c_str());
  // Commas in a text are no values.
  cr_expect(zinniamux::platform::ParseJob(R"({"steps":[{"count":1}],"note":")" +
                                          std::string(2 * kValues, ',') + "\"}")
                .has_value());
}

// Guards against a limit on values that jobs within the limit on bodies meet: 500 steps, each after
// as many others as fit.
Test(job_codec, accepts_long_lists_of_earlier_steps) {
  constexpr std::size_t kBodyBytes = 262'144;
  constexpr std::size_t kSteps = 500;
  const std::string tail = "]}]}";
  std::string body = R"({"spec":"x","steps":[{"count":1})";
  for (std::size_t i = 2; i < kSteps; ++i) body += R"(,{"count":1})";
  body += R"(,{"count":1,"after":[0)";
  while (body.size() + tail.size() + 2 <= kBodyBytes) body += ",0";
  body += tail;
  cr_expect(zinniamux::platform::ParseJob(body).has_value());
}
