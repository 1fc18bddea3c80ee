// Processes, settings and clients.
#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace zinniamux::review {

using nlohmann::json;

namespace {

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

json Configuration() {
  const json route{{"name", "jobs"},
                   {"host", Deployment::kHost},
                   {"prefix", Deployment::kPrefix},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 1500},
                   {"slo_ms", 60},
                   {"priority", 0},
                   {"service", Deployment::kService},
                   {"attempts", 4},
                   {"stretch", 1.6}};
  const json service{{"name", Deployment::kService},
                     {"health_path", "/healthz"},
                     {"max_conns", 64},
                     {"protocol", "h1"},
                     {"tls", false},
                     {"enforces_capacity", true},
                     {"spare", false}};
  return {{"version", 1}, {"routes", {route}}, {"services", {service}}, {"limits", json::object()}};
}

// Replaces each "{{name}}".
std::string FillIn(std::string text, const std::map<std::string, std::string>& fields) {
  std::size_t begin = 0;
  while ((begin = text.find("{{", begin)) != std::string::npos) {
    const std::size_t end = text.find("}}", begin);
    const std::string& value = fields.at(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin, value);
    begin += value.size();
  }
  return text;
}

std::map<std::string, std::string> Bounds() {
  return {{"bounds.max_hold_ms", "1000"},
          {"bounds.stop_ms", "50"},
          {"bounds.retransmit_ms", "1300"},
          {"bounds.grace_s", "6"}};
}

}  // namespace

Child::Child(std::vector<std::string> command, const std::filesystem::path& output) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& each : command) arguments.push_back(each.data());
  arguments.push_back(nullptr);
  const std::string path = output.string();
  pid_ = fork();
  if (pid_ != 0) return;
  // Also if this process is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

Child::~Child() {
  if (!IsRunning()) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Child::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool Child::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

Deployment::Deployment(const Options& options, Record& record)
    : dispatchers_(options.dispatchers), supervisors_(options.supervisors) {
  std::string pattern = std::filesystem::temp_directory_path() / "zinniamux-review-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  const std::vector<std::uint16_t> ports =
      FreePorts(2 + 7 * dispatchers_.size() + 3 * supervisors_.size());
  auto port = ports.begin();
  const std::uint16_t store_port = *port++;
  const std::uint16_t supervisors_store_port = *port++;
  std::map<std::string, std::string> proxies;
  store_ = std::make_unique<Store>(store_port);
  store_->Put("op", "config", Configuration().dump());
  for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
    Dispatcher& dispatcher = dispatchers_[i];
    const std::string id = "front-a-" + std::to_string(i + 1);
    dispatcher.caller = *port++;
    dispatcher.readiness = *port++;
    dispatcher.rpc = *port++;
    dispatcher.metrics = *port++;
    dispatcher.caller_proxy_port = *port++;
    const std::uint16_t rpc_proxy_port = *port++;
    const std::uint16_t dispatcher_store_port = *port++;
    dispatcher.caller_proxy =
        std::make_unique<CutProxy>(dispatcher.caller_proxy_port, dispatcher.caller);
    dispatcher.rpc_proxy = std::make_unique<CutProxy>(rpc_proxy_port, dispatcher.rpc);
    dispatcher.store_proxy = std::make_unique<CutProxy>(dispatcher_store_port, store_port);
    proxies[Loopback(dispatcher.rpc)] = Loopback(rpc_proxy_port);
    std::map<std::string, std::string> fields = Bounds();
    fields.insert({{"node", id},
                   {"zone", "zone-a"},
                   {"listen.front", Loopback(dispatcher.caller)},
                   {"listen.ready", Loopback(dispatcher.readiness)},
                   {"ip", "127.0.0.1"},
                   {"port_range.0", std::to_string(dispatcher.rpc)},
                   {"metrics_port", std::to_string(dispatcher.metrics)},
                   {"platform.address", Loopback(dispatcher_store_port)}});
    dispatcher.process = StartProgram(id, "deploy/dispatcher.yaml", fields);
  }
  store_->ServeAt(supervisors_store_port, proxies);
  for (std::size_t i = 0; i < supervisors_.size(); ++i) {
    Supervisor& supervisor = supervisors_[i];
    const std::string id = "side-a-" + std::to_string(i + 1);
    supervisor.control = *port++;
    supervisor.metrics = *port++;
    supervisor.app = *port++;
    std::map<std::string, std::string> fields = Bounds();
    fields.insert({{"node", id},
                   {"zone", "zone-a"},
                   {"listen.control", Loopback(supervisor.control)},
                   {"ip", "127.0.0.1"},
                   {"metrics_port", std::to_string(supervisor.metrics)},
                   {"app", Loopback(supervisor.app)},
                   {"service", kService},
                   {"platform.address", Loopback(supervisors_store_port)}});
    supervisor.process = StartProgram(id, "deploy/supervisor.yaml", fields);
    supervisor.executor =
        std::make_unique<Executor>(Executor::Options{.id = "i-" + std::to_string(i + 1),
                                                     .service = kService,
                                                     .zone = "zone-a",
                                                     .port = supervisor.app,
                                                     .control_port = supervisor.control},
                                   record);
  }
}

Deployment::~Deployment() {
  for (Supervisor& each : supervisors_) each.process.reset();
  for (Dispatcher& each : dispatchers_) {
    each.process.reset();
    each.caller_proxy.reset();
    each.rpc_proxy.reset();
    each.store_proxy.reset();
  }
  for (Supervisor& each : supervisors_) each.executor.reset();
  store_.reset();
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(directory_);
}

std::unique_ptr<Child> Deployment::StartProgram(const std::string& id,
                                                const std::string& settings_template,
                                                const std::map<std::string, std::string>& fields) {
  std::stringstream text;
  text << std::ifstream(settings_template).rdbuf();
  std::string settings = FillIn(text.str(), fields);
  // The deploy file fixes this port; on one loopback address each process needs its own.
  const std::string fixed = ":9464";
  settings.replace(settings.find(fixed), fixed.size(), ':' + fields.at("metrics_port"));
  const std::filesystem::path file = directory_ / (id + ".conf");
  std::ofstream(file) << settings;
  return std::make_unique<Child>(
      std::vector<std::string>{"target/src/zinniamuxd", "--settings", file.string()},
      directory_ / (id + ".log"));
}

bool Deployment::WaitUntilReady() {
  const std::string gauge =
      "zinniamux_executors_accepting " + std::to_string(supervisors_.size()) + "\n";
  for (const auto end = Clock::now() + std::chrono::seconds(20); Clock::now() < end;) {
    bool ready = true;
    for (const Dispatcher& each : dispatchers_) {
      const CallResult readiness = SendCall(
          {.port = each.readiness, .target = "/zinniamux/readyz", .headers = {{"Host", "r"}}});
      const CallResult metrics =
          SendCall({.port = each.metrics, .target = "/metrics", .headers = {{"Host", "m"}}});
      ready = ready && readiness.status == 200 && metrics.body.find(gauge) != std::string::npos;
    }
    if (ready) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

void Deployment::SetCut(std::size_t dispatcher, bool cut) {
  Dispatcher& each = dispatchers_[dispatcher];
  each.caller_proxy->set_cut(cut);
  each.rpc_proxy->set_cut(cut);
  each.store_proxy->set_cut(cut);
}

bool Deployment::AllRunning() {
  bool running = true;
  for (Dispatcher& each : dispatchers_) running = each.process->IsRunning() && running;
  for (Supervisor& each : supervisors_) running = each.process->IsRunning() && running;
  return running;
}

Call SubmitCall(const Job& job, std::uint16_t port) {
  json steps = json::array();
  for (std::uint32_t number = 0; number < job.steps; ++number) {
    steps.push_back({{"count", job.count},
                     {"cpu", job.cpu_milli},
                     {"mem_mb", job.memory_mb},
                     {"estimate_ms", job.work_ms}});
    if (number > 0) steps.back()["after"] = json::array({number - 1});
  }
  return {
      .port = port,
      .method = "POST",
      .target = Deployment::kPrefix + job.id,
      .headers = {{"Host", Deployment::kHost},
                  {"X-Deadline-Ms", std::to_string(job.deadline.count())}},
      .body = json{{"spec", std::to_string(job.work_ms)}, {"steps", steps}, {"best_effort", true}}
                  .dump(),
      .timeout = job.deadline};
}

int HandIn(const Job& job, const std::vector<std::uint16_t>& ports, std::size_t first,
           Record& record, int attempts, milliseconds retransmit) {
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  int status = 0;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const std::size_t index = (first + static_cast<std::size_t>(attempt)) % ports.size();
    record.Note("job " + job.id + " sent to dispatcher " + std::to_string(index + 1));
    const CallResult result = SendCall(SubmitCall(job, ports[index]));
    status = result.end == CallEnd::kAnswered ? result.status : 0;
    record.Note("job " + job.id + " answered " + std::to_string(status) + ' ' + result.body);
    if (status != 0 && status != kBadGateway && status != kGatewayTimeout) return status;
    std::this_thread::sleep_for(retransmit);
  }
  return status;
}

}  // namespace zinniamux::review
