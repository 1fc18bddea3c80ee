// Processes, settings and the frame of a case.
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

#include "rig.h"

namespace rig {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kStart = Clock::now();

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw CannotRun{"cannot read " + path};
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

// The value of `name = "..."` in the section of a role of the deploy file.
std::string DeployValue(const std::string& role, const std::string& name) {
  std::istringstream file(ReadFile("deploy/system.toml"));
  bool in_section = false;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("[")) in_section = line == "[roles." + role + "]";
    if (!in_section || !line.starts_with(name + " = \"")) continue;
    const std::size_t begin = line.find('"') + 1;
    return line.substr(begin, line.rfind('"') - begin);
  }
  throw CannotRun{"deploy/system.toml has no " + name + " for " + role};
}

}  // namespace

Ms NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

Ms UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(Ms ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

bool WaitFor(Ms limit, const std::function<bool()>& condition) {
  const Ms until = NowMs() + limit;
  while (!condition()) {
    if (NowMs() > until) return false;
    SleepMs(2);
  }
  return true;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ", static_cast<double>(NowMs()) / 1000);
  file_ << time << line << std::endl;
}

// --- Processes

Node::Node(std::string name, const std::string& command, const std::string& settings,
           std::map<std::string, std::string> environment, const std::string& directory,
           Record& record)
    : name_(std::move(name)),
      environment_(std::move(environment)),
      log_(directory + "/" + name_ + ".out"),
      record_(record) {
  const std::string path = directory + "/" + name_ + ".conf";
  std::ofstream(path) << settings;
  command_ = Words(command);
  for (std::string& word : command_) {
    if (word == "/etc/zinniamux/node.conf") word = path;
  }
}

Node::~Node() { End(); }

void Node::Start() {
  std::vector<std::string> variables{"PATH=/usr/bin:/bin"};
  variables.reserve(environment_.size() + 1);
  for (const auto& [name, value] : environment_) variables.push_back(name + "=" + value);
  std::vector<char*> arguments;
  arguments.reserve(command_.size() + 1);
  for (std::string& word : command_) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) {
    // Ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(file, 1);
    dup2(file, 2);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  record_.Write("node   " + name_ + " starts");
}

void Node::Signal(int signal) {
  if (pid_ <= 0) return;
  record_.Write("node   " + name_ + " gets signal " + std::to_string(signal));
  kill(pid_, signal);
}

bool Node::HasEnded() {
  if (pid_ <= 0) return true;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = -1;
  const bool was_signalled = WIFSIGNALED(status);
  record_.Write("node   " + name_ + " has ended, " + (was_signalled ? "signal " : "status ") +
                std::to_string(was_signalled ? WTERMSIG(status) : WEXITSTATUS(status)));
  return true;
}

void Node::End() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
}

double Node::MemoryMb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

// --- The deployment

Deployment::Deployment(Options options, Record& record)
    : options_(std::move(options)), record_(record), runs_(record) {
  char pattern[] = "/tmp/zinniamux-review-XXXXXX";
  directory_ = mkdtemp(pattern);
  // Addresses of their own for each machine, so that ports are the same on all.
  std::mt19937 random(std::random_device{}());
  for (int attempt = 0; store_ == nullptr; ++attempt) {
    network_ = "127." + std::to_string(random() % 200 + 20) + "." +
               std::to_string(random() % 250 + 1) + ".";
    try {
      store_ = std::make_unique<Store>(network_ + "250", kStorePort);
    } catch (const CannotRun&) {
      if (attempt > 5) throw;
    }
  }
  json routes = json::array();
  routes.push_back({{"name", "r-3hwrr6x"},
                    {"host", kHost},
                    {"prefix", kPrefix},
                    {"kind", "non_idempotent"},
                    {"timeout_ms", options_.timeout_ms},
                    {"slo_ms", 60},
                    {"priority", 0},
                    {"service", kService},
                    {"attempts", 4},
                    {"stretch", 1.6}});
  json services = json::array();
  services.push_back({{"name", kService},
                      {"health_path", "/healthz"},
                      {"max_conns", 64},
                      {"protocol", "h1"},
                      {"tls", false},
                      {"enforces_capacity", options_.enforces_capacity},
                      {"spare", false}});
  store_->Put("op", "config",
              json{{"version", 7},
                   {"routes", routes},
                   {"services", services},
                   {"limits",
                    {{"max_header_bytes", 16384},
                     {"max_body_bytes", 262144},
                     {"header_timeout_ms", 3000},
                     {"idle_timeout_ms", 15000}}}}
                  .dump());
  if (options_.has_proxies) AddProxies();
  const auto add = [&](std::vector<Machine>& machines, const std::string& role, int number,
                       int host) {
    Machine& machine = machines.emplace_back();
    machine.ip = network_ + std::to_string(host);
    const std::string id =
        (role == "dispatcher" ? "front-" : "side-") + ZoneOf(number) + "-" + std::to_string(number);
    std::string store_ip = network_ + "250";
    if (options_.has_proxies) {
      store_ip = network_ + std::to_string(role == "dispatcher" ? 29 + number : 199 + number);
    }
    machine.node = std::make_unique<Node>(
        id, DeployValue(role, "run"), Render(role, machine, id, ZoneOf(number), store_ip),
        std::map<std::string, std::string>{{"ZINNIAMUX_EVACUATE_MS", ""},
                                           {"ZINNIAMUX_SPREAD_FACTOR", "1.5"}},
        directory_, record_);
    const bool is_added_later =
        role == "dispatcher" && number > options_.fronts - options_.fronts_added_later;
    if (!is_added_later) machine.node->Start();
  };
  for (int i = 1; i <= options_.fronts; ++i) add(fronts_, "dispatcher", i, i);
  for (int i = 1; i <= options_.sides; ++i) {
    add(sides_, "supervisor", i, 100 + i);
    Machine& machine = sides_.back();
    machine.executor = std::make_unique<Executor>(Executor::Options{.ip = machine.ip,
                                                                    .port = kAppPort,
                                                                    .control_ip = machine.ip,
                                                                    .control_port = kControlPort,
                                                                    .service = kService,
                                                                    .zone = ZoneOf(i),
                                                                    .id = "i-" + std::to_string(i)},
                                                  runs_, record_);
  }
  for (int i = 0; i < options_.sides; ++i) {
    const std::size_t kind = std::min<std::size_t>(i, options_.kinds.size() - 1);
    sides_[i].executor->Start(options_.kinds[kind], 300, i == 0 ? options_.clock_ahead : 0);
  }
}

Deployment::~Deployment() {
  for (Machine& machine : sides_) machine.executor.reset();
  for (Machine& machine : fronts_) machine.node->End();
  for (Machine& machine : sides_) machine.node->End();
  rpc_links_.clear();
  caller_links_.clear();
  store_links_.clear();
  store_.reset();
  const char* keep = std::getenv("KEEP_LOGS");
  if (keep == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  } else {
    std::cerr << "logs are in " << directory_ << "\n";
  }
}

void Deployment::AddProxies() {
  constexpr int kRpcPort = 7720;
  for (int front = 0; front < options_.fronts; ++front) {
    const std::string ip = network_ + std::to_string(1 + front);
    caller_links_[front] = std::make_unique<Proxy>(caller_ip(front), kFrontPort, ip, kFrontPort);
    store_links_[front] = std::make_unique<Proxy>(network_ + std::to_string(30 + front), kStorePort,
                                                  network_ + "250", kStorePort);
  }
  for (int side = 0; side < options_.sides; ++side) {
    const std::string view = network_ + std::to_string(200 + side);
    std::map<std::string, std::string> proxies;
    for (int front = 0; front < options_.fronts; ++front) {
      const std::string ip = network_ + std::to_string(1 + front);
      const int port = kRpcPort + 1 + front;
      rpc_links_[{side, front}] = std::make_unique<Proxy>(view, port, ip, kRpcPort);
      proxies[ip + ":" + std::to_string(kRpcPort)] = view + ":" + std::to_string(port);
    }
    store_->ServeThroughProxies(view, kStorePort, std::move(proxies));
  }
}

std::string Deployment::ZoneOf(int number) const {
  return std::string("zone-") + static_cast<char>('a' + (number - 1) % options_.zones);
}

void Deployment::SetFrontCutFromOtherZones(int front, bool cut) {
  store_links_.at(front)->SetCut(cut);
  for (int side = 0; side < options_.sides; ++side) {
    if (ZoneOf(side + 1) != ZoneOf(front + 1)) rpc_link(side, front).SetCut(cut);
  }
}

void Deployment::SetFrontCut(int front, bool cut) {
  caller_links_.at(front)->SetCut(cut);
  store_links_.at(front)->SetCut(cut);
  for (int side = 0; side < options_.sides; ++side) rpc_link(side, front).SetCut(cut);
}

std::string Deployment::Render(const std::string& role, const Machine& machine,
                               const std::string& id, const std::string& zone,
                               const std::string& store_ip) const {
  const auto at = [&machine](int port) { return machine.ip + ":" + std::to_string(port); };
  const std::map<std::string, std::string> values{
      {"node", id},
      {"zone", zone},
      {"ip", machine.ip},
      {"listen.front", at(kFrontPort)},
      {"listen.ready", at(kReadyPort)},
      {"listen.control", at(kControlPort)},
      {"port_range.0", "7720"},
      {"platform.address", store_ip + ":" + std::to_string(kStorePort)},
      {"app", at(kAppPort)},
      {"service", kService},
      {"bounds.max_hold_ms", "1000"},
      {"bounds.stop_ms", "50"},
      {"bounds.retransmit_ms", "1300"},
      {"bounds.grace_s", "6"}};
  std::string text = ReadFile(DeployValue(role, "template"));
  for (std::size_t begin = 0; (begin = text.find("{{", begin)) != std::string::npos;) {
    const std::size_t end = text.find("}}", begin);
    const std::string name = text.substr(begin + 2, end - begin - 2);
    const auto value = values.find(name);
    if (value == values.end()) throw CannotRun{"the template names " + name};
    text.replace(begin, end + 2 - begin, value->second);
  }
  return text;
}

bool Deployment::IsReady(const Machine& front) const {
  return Call(front.ip, kReadyPort, "GET", "/zinniamux/readyz", "ready", "", 500).status == 200;
}

bool Deployment::WaitUntilReady(Ms limit) {
  return WaitFor(limit, [this] {
    for (const Machine& front : fronts_) {
      if (front.node->pid() <= 0) continue;
      if (!IsReady(front)) return false;
      const Response metrics = Call(front.ip, 9464, "GET", "/metrics", "metrics", "", 500);
      const std::string wanted = "executors_accepting " + std::to_string(sides_.size());
      if (metrics.body.find(wanted) == std::string::npos) return false;
    }
    return true;
  });
}

std::string JobBody(Ms work_ms, int count, std::int64_t cpu, const std::string& required_label) {
  json step{{"count", count}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", work_ms}};
  if (!required_label.empty()) step["required_label"] = required_label;
  json steps = json::array();
  steps.push_back(std::move(step));
  return json{{"spec", "work " + std::to_string(work_ms) + " cpu " + std::to_string(cpu)},
              {"best_effort", true},
              {"steps", std::move(steps)}}
      .dump();
}

std::string NewJobId() {
  static std::mt19937_64 random(std::random_device{}());
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

int RunCase(const std::string& folder, const std::function<bool(Record&)>& run) {
  // Children end with this process.
  alarm(115);
  signal(SIGPIPE, SIG_IGN);
  Record record(folder + "/record.txt");
  record.Write(HasTrouble() ? "case   with its disruption" : "case   without its disruption");
  try {
    const bool held = run(record);
    record.Write(held ? "check  the rule held" : "check  the rule was broken");
    std::cout << (held ? "the rule held" : "the rule was broken") << "\n";
    return held ? 0 : 1;
  } catch (const CannotRun& error) {
    record.Write("case   could not run: " + error.reason);
    std::cout << "the case could not run: " << error.reason << "\n";
  } catch (const std::exception& error) {
    record.Write(std::string("case   could not run: ") + error.what());
    std::cout << "the case could not run: " << error.what() << "\n";
  }
  return 2;
}

}  // namespace rig
