#pragma once
/// @file
/// One connection of the HTTP server with its request parser. Used by HttpServer only.

#include <http_parser.h>
#include <uv.h>

#include <cstdint>
#include <list>
#include <string>

#include "base/runtime.hpp"
#include "net/http_server.hpp"

namespace asterstair::net {

/// A connection and its current request. HttpServer creates and controls it; it deletes itself when
/// libuv has closed both handles.
struct HttpServer::Connection {
  /// Creates a connection for uv_accept() and initializes its handles.
  Connection(HttpServer* server, uv_loop_t* loop, std::uint64_t connection_id);

  HttpServer* owner;         ///< The server; never null.
  std::uint64_t id;          ///< Unique id; the server never reuses one.
  uv_tcp_t tcp{};            ///< The socket.
  uv_timer_t timer{};        ///< Closes the connection when its time limit expires.
  uv_write_t write{};        ///< Writes the response.
  http_parser parser{};      ///< Parses the request.
  bool closing = false;      ///< Whether the server has closed it.
  bool busy = false;         ///< Whether a request is being handled.
  bool in_request = false;   ///< Whether any byte of the request has arrived.
  bool complete = false;     ///< Whether the whole request has arrived.
  bool too_large = false;    ///< Whether the body exceeds the size limit.
  bool buffer_full = false;  ///< Whether the server's buffer limit was reached.
  bool keep_alive = true;    ///< Whether the connection stays open after the response.
  bool idle = false;         ///< Whether it is in the server's list of idle connections.
  std::list<Connection*>::iterator idle_position;  ///< Its position in that list, if it is idle.
  HttpRequest request;                             ///< The part of the request received so far.
  std::size_t buffered = 0;  ///< Bytes of the body counted against the server's buffer limit.
  std::string pending;       ///< Bytes received while a request was being handled.
  std::string outgoing;      ///< The encoded response.

  /// Initializes the parser for the first request.
  void init_parser();

  /// Passes bytes of a request to the parser. Returns the number of bytes that it consumed.
  std::size_t execute_parser(const char* data, std::size_t size);

  /// Encodes the response into `outgoing`.
  void encode_response(const HttpResponse& response);

  /// Closes both handles; the connection deletes itself after that.
  void close_handles();

  /// Provides the server's shared buffer to libuv for the next read.
  static void allocate_read_buffer(uv_handle_t* handle, std::size_t suggested, uv_buf_t* buffer);

 private:
  static const http_parser_settings& parser_settings();
  static int on_message_begin(http_parser* parser);
  static int on_url(http_parser* parser, const char* data, std::size_t size);
  static int on_headers_complete(http_parser* parser);
  static int on_body(http_parser* parser, const char* data, std::size_t size);
  static int on_message_complete(http_parser* parser);

  int open_handles_ = 2;
};

}  // namespace asterstair::net
