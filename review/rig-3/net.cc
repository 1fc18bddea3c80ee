// HTTP messages, and connections with faults.
#include "net.h"

#include <algorithm>
#include <cctype>

namespace rig {
namespace {

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string PercentDecode(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

void ResetSocket(Tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Times between the sendings of a segment that is lost, and of one that opens a connection.
Milliseconds RetransmissionDelay(int losses) { return Milliseconds(200) * (1 << losses); }
Milliseconds ReconnectDelay(int losses) { return Milliseconds(1000) * (1 << losses); }

}  // namespace

bool Message::Take(std::string& buffer, Message& message) {
  const std::size_t head_end = buffer.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  message = {};
  std::size_t line = buffer.find("\r\n");
  message.first_line = buffer.substr(0, line);
  while (line < head_end) {
    const std::size_t start = line + 2;
    line = buffer.find("\r\n", start);
    const std::string field = buffer.substr(start, line - start);
    const std::size_t colon = field.find(':');
    if (colon == std::string::npos) continue;
    std::string value = field.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers[Lower(field.substr(0, colon))] = value;
  }
  const auto length = message.headers.find("content-length");
  const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
  if (buffer.size() < head_end + 4 + size) return false;
  message.body = buffer.substr(head_end + 4, size);
  buffer.erase(0, head_end + 4 + size);
  return true;
}

// --- Server

HttpServer::HttpServer(asio::io_context& loop, const Address& address, Handler handler)
    : acceptor_(loop), handler_(std::move(handler)) {
  acceptor_.open(Tcp::v4());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address.endpoint());
  acceptor_.listen();
  Accept();
}

void HttpServer::Stop() {
  *alive_ = false;
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& connection : connections_) ResetSocket(connection->socket);
  connections_.clear();
}

void HttpServer::Accept() {
  acceptor_.async_accept([this, alive = alive_](asio::error_code error, Tcp::socket socket) {
    if (!*alive || error == asio::error::operation_aborted) return;
    if (!error) {
      asio::error_code ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      const auto connection = std::make_shared<Connection>(std::move(socket));
      connections_.insert(connection);
      Read(connection);
    }
    Accept();
  });
}

void HttpServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->piece),
      [this, alive = alive_, connection](asio::error_code error, std::size_t size) {
        if (!*alive) return;
        if (error) {
          asio::error_code ignored;
          connection->socket.close(ignored);
          connections_.erase(connection);
          return;
        }
        connection->input.append(connection->piece.data(), size);
        HandleNext(connection);
      });
}

void HttpServer::HandleNext(const std::shared_ptr<Connection>& connection) {
  Message message;
  if (!Message::Take(connection->input, message)) return Read(connection);
  Request request;
  const std::size_t space = message.first_line.find(' ');
  const std::size_t end = message.first_line.rfind(' ');
  request.method = message.first_line.substr(0, space);
  std::string target = message.first_line.substr(space + 1, end - space - 1);
  const std::size_t mark = target.find('?');
  if (mark != std::string::npos) {
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
      const std::size_t ampersand = rest.find('&');
      const std::string item = rest.substr(0, ampersand);
      rest = ampersand == std::string::npos ? "" : rest.substr(ampersand + 1);
      const std::size_t equals = item.find('=');
      if (equals == std::string::npos) continue;
      request.query[item.substr(0, equals)] = PercentDecode(item.substr(equals + 1));
    }
    target.resize(mark);
  }
  request.path = target;
  request.headers = std::move(message.headers);
  request.body = std::move(message.body);
  handler_(std::move(request), [this, alive = alive_, connection](const Response& response) {
    if (!*alive || !connection->socket.is_open()) return;
    const auto text = std::make_shared<std::string>(
        "HTTP/1.1 " + std::to_string(response.status) +
        " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
    asio::async_write(
        connection->socket, asio::buffer(*text),
        [this, alive = alive_, connection, text](asio::error_code error, std::size_t) {
          if (!*alive || error) return;
          HandleNext(connection);
        });
  });
}

// --- Client

void Channel::Open(const Address& target) {
  open_ = true;
  socket_.async_connect(target.endpoint(), [self = shared_from_this()](asio::error_code error) {
    if (!self->open_) return;
    if (error) return self->Finish(0, "");
    asio::error_code ignored;
    self->socket_.set_option(Tcp::no_delay(true), ignored);
    self->connected_ = true;
    if (!self->output_.empty()) {
      asio::async_write(self->socket_, asio::buffer(self->output_),
                        [self](asio::error_code, std::size_t) {});
    }
    self->Read();
  });
}

void Channel::Send(const std::string& method, const std::string& path,
                   const std::vector<std::pair<std::string, std::string>>& headers,
                   const std::string& body, Milliseconds timeout, Callback callback) {
  busy_ = true;
  callback_ = std::move(callback);
  output_ = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) output_ += name + ": " + value + "\r\n";
  output_ += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (connected_) {
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](asio::error_code, std::size_t) {});
  }
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error) self->Finish(0, "");
  });
}

void Channel::Read() {
  socket_.async_read_some(asio::buffer(piece_),
                          [self = shared_from_this()](asio::error_code error, std::size_t size) {
                            if (!self->open_) return;
                            if (error) return self->Finish(0, "");
                            self->input_.append(self->piece_.data(), size);
                            Message message;
                            if (Message::Take(self->input_, message)) {
                              self->busy_ = false;
                              self->timer_.cancel();
                              const int status = std::stoi(message.first_line.substr(9, 3));
                              const auto close = message.headers.find("connection");
                              if (close != message.headers.end() && close->second == "close") {
                                self->Close();
                              }
                              auto callback = std::exchange(self->callback_, nullptr);
                              if (callback) callback(status, std::move(message.body));
                            }
                            if (self->open_) self->Read();
                          });
}

void Channel::Close() {
  open_ = false;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

void Channel::Finish(int status, std::string body) {
  Close();
  auto callback = std::exchange(callback_, nullptr);
  if (callback) callback(status, std::move(body));
}

void Call(asio::io_context& loop, const Address& target, const std::string& method,
          const std::string& path, const std::vector<std::pair<std::string, std::string>>& headers,
          const std::string& body, Milliseconds timeout, Channel::Callback callback) {
  const auto channel = std::make_shared<Channel>(loop);
  channel->Open(target);
  channel->Send(method, path, headers, body, timeout,
                [channel, callback = std::move(callback)](int status, std::string answer) {
                  channel->Close();
                  callback(status, std::move(answer));
                });
}

// --- Link

Link::Link(asio::io_context& loop, const Address& listen, const Address& target)
    : loop_(loop), listen_(listen), target_(target), acceptor_(loop) {
  Listen();
}

void Link::Listen() {
  acceptor_.open(Tcp::v4());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(listen_.endpoint());
  acceptor_.listen();
  Accept();
}

void Link::SetRefused(bool refused) {
  if (!refused) return Listen();
  acceptor_.close();
  for (const auto& pair : std::exchange(pairs_, {})) {
    if (const auto open = pair.lock()) Reset(open);
  }
}

void Link::Accept() {
  acceptor_.async_accept([this](asio::error_code error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      const auto pair = std::make_shared<Pair>(loop_, std::move(socket));
      asio::error_code ignored;
      pair->client.set_option(Tcp::no_delay(true), ignored);
      pair->forward.timer = std::make_unique<asio::steady_timer>(loop_);
      pair->backward.timer = std::make_unique<asio::steady_timer>(loop_);
      pairs_.push_back(pair);
      Connect(pair);
    }
    Accept();
  });
}

void Link::Connect(const std::shared_ptr<Pair>& pair) {
  if (forward_cut_) {
    pair->connect_timer.expires_after(ReconnectDelay(pair->connect_losses++));
    pair->connect_timer.async_wait([this, pair](asio::error_code error) {
      if (!error && !pair->closed) Connect(pair);
    });
    return;
  }
  pair->server.async_connect(target_.endpoint(), [this, pair](asio::error_code error) {
    if (error) return Reset(pair);
    asio::error_code ignored;
    pair->server.set_option(Tcp::no_delay(true), ignored);
    Read(pair, true);
    Read(pair, false);
  });
}

void Link::Read(const std::shared_ptr<Pair>& pair, bool forward) {
  Direction& direction = forward ? pair->forward : pair->backward;
  Tcp::socket& from = forward ? pair->client : pair->server;
  from.async_read_some(asio::buffer(direction.buffer), [this, pair, forward](asio::error_code error,
                                                                             std::size_t size) {
    if (pair->closed) return;
    Direction& read = forward ? pair->forward : pair->backward;
    if (error && error != asio::error::eof) return Reset(pair);
    Piece piece{.bytes = std::string(read.buffer.data(), size), .end = bool(error), .due = Now()};
    read.waiting.push_back(std::move(piece));
    if (read.waiting.size() == 1) Deliver(pair, forward);
    if (!error) Read(pair, forward);
  });
}

void Link::Deliver(const std::shared_ptr<Pair>& pair, bool forward) {
  Direction& direction = forward ? pair->forward : pair->backward;
  if (pair->closed || direction.is_writing || direction.waiting.empty()) return;
  Piece& first = direction.waiting.front();
  const auto wait_until = [&](SteadyTime time) {
    direction.timer->expires_at(time);
    direction.timer->async_wait([this, pair, forward](asio::error_code error) {
      if (!error) Deliver(pair, forward);
    });
  };
  if (first.due > Now()) return wait_until(first.due);
  if (forward ? forward_cut_ : backward_cut_) {
    first.due += RetransmissionDelay(first.losses++);
    return wait_until(first.due);
  }
  // The pieces behind it arrive with it.
  Tcp::socket& to = forward ? pair->server : pair->client;
  direction.writing.clear();
  bool end = false;
  while (!direction.waiting.empty() && !end) {
    direction.writing += direction.waiting.front().bytes;
    end = direction.waiting.front().end;
    direction.waiting.pop_front();
  }
  direction.is_writing = true;
  asio::async_write(
      to, asio::buffer(direction.writing),
      [this, pair, forward, end](asio::error_code error, std::size_t) {
        Direction& written = forward ? pair->forward : pair->backward;
        written.is_writing = false;
        if (pair->closed) return;
        if (error) return Reset(pair);
        if (end) {
          asio::error_code ignored;
          (forward ? pair->server : pair->client).shutdown(Tcp::socket::shutdown_send, ignored);
        }
        Deliver(pair, forward);
      });
}

void Link::Reset(const std::shared_ptr<Pair>& pair) {
  if (std::exchange(pair->closed, true)) return;
  pair->forward.timer->cancel();
  pair->backward.timer->cancel();
  pair->connect_timer.cancel();
  ResetSocket(pair->client);
  ResetSocket(pair->server);
}

}  // namespace rig
