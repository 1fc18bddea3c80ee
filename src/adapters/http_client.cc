// libcurl multi handle driven by one thread.
#include "adapters/http_client.h"

#include <curl/curl.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinniamux::adapters {
namespace {

constexpr int kPollMilliseconds = 1000;
constexpr std::size_t kMaxResponseBytes = 64U << 20U;

struct Transfer {
  HttpCall call;
  HttpClient::Callback callback;
  HttpResult result;
  curl_slist* headers = nullptr;
  int copies_sent = 0;
};

std::size_t AppendBody(char* data, std::size_t size, std::size_t count, void* user) {
  std::string& body = static_cast<Transfer*>(user)->result.body;
  const std::size_t bytes = size * count;
  // Returning less than was offered makes libcurl fail the transfer.
  if (body.size() + bytes > kMaxResponseBytes) return 0;
  body.append(data, bytes);
  return bytes;
}

// Called before each copy of a request is sent.
int CountCopy(void* user, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
              int /*local_port*/) {
  ++static_cast<Transfer*>(user)->copies_sent;
  return CURL_PREREQFUNC_OK;
}

// Called for each new socket.
int SetResetOnClose(void* /*user*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  const int failed = setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  // An error makes libcurl fail the transfer.
  return failed == 0 ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

void InitialiseCurlOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(result);
}

}  // namespace

class HttpClient::Implementation {
 public:
  explicit Implementation(const Options& options) : options_(options) {
    InitialiseCurlOnce();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, options.max_connections_per_host);
    thread_ = std::thread([this] { Run(); });
  }

  ~Implementation() {
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    curl_multi_cleanup(multi_);
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void Send(HttpCall call, Callback callback) {
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->callback = std::move(callback);
    {
      const std::lock_guard lock(mutex_);
      waiting_.push_back(std::move(transfer));
    }
    curl_multi_wakeup(multi_);
  }

 private:
  void Run() {
    while (!stopping_) {
      StartWaiting();
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishDone();
      curl_multi_poll(multi_, nullptr, 0, kPollMilliseconds, nullptr);
    }
    AbandonAll();
  }

  void StartWaiting() {
    std::vector<std::unique_ptr<Transfer>> starting;
    {
      const std::lock_guard lock(mutex_);
      starting.swap(waiting_);
    }
    for (std::unique_ptr<Transfer>& transfer : starting) StartTransfer(std::move(transfer));
  }

  void StartTransfer(std::unique_ptr<Transfer> transfer) {
    CURL* easy = curl_easy_init();
    const HttpCall& call = transfer->call;
    for (const auto& [name, value] : call.headers) {
      transfer->headers = curl_slist_append(transfer->headers, (name + ": " + value).c_str());
    }
    // Without this, libcurl waits for "100 Continue" before it sends larger bodies.
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CountCopy);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    if (options_.reset_on_close) {
      curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetResetOnClose);
    }
    if (call.fresh_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_multi_add_handle(multi_, easy);
    transfers_.emplace(easy, std::move(transfer));
  }

  void FinishDone() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
      if (message->msg != CURLMSG_DONE) continue;
      Finish(message->easy_handle, message->data.result);
    }
  }

  void Finish(CURL* easy, CURLcode code) {
    const auto found = transfers_.find(easy);
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    transfers_.erase(found);
    if (code == CURLE_OK) {
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      transfer->result.status = static_cast<int>(status);
    } else {
      transfer->result.failure = curl_easy_strerror(code);
      transfer->result.body.clear();
      const bool unconnected = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
      transfer->result.not_sent = unconnected && transfer->copies_sent == 0;
      long system_error = 0;
      curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &system_error);
      transfer->result.connection_refused =
          code == CURLE_COULDNT_CONNECT && system_error == ECONNREFUSED;
    }
    transfer->result.resent = transfer->copies_sent > 1;
    curl_multi_remove_handle(multi_, easy);
    curl_easy_cleanup(easy);
    curl_slist_free_all(transfer->headers);
    transfer->callback(std::move(transfer->result));
  }

  void AbandonAll() {
    StartWaiting();
    while (!transfers_.empty()) Finish(transfers_.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }

  const Options options_;
  CURLM* multi_ = nullptr;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<std::unique_ptr<Transfer>> waiting_;
  // Used by the client's thread only.
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> transfers_;
  std::thread thread_;
};

HttpClient::HttpClient() : HttpClient(Options()) {}

HttpClient::HttpClient(const Options& options)
    : implementation_(std::make_unique<Implementation>(options)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpCall call, Callback callback) {
  implementation_->Send(std::move(call), std::move(callback));
}

HttpResult HttpClient::SendAndWait(HttpCall call) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> future = promise->get_future();
  Send(std::move(call), [promise](HttpResult result) { promise->set_value(std::move(result)); });
  return future.get();
}

}  // namespace zinniamux::adapters
