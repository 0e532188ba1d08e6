#pragma once
/// @file
/// One connection of the HTTP server, with the parser of its requests. Used by HttpServer only.

#include <http_parser.h>
#include <uv.h>

#include <cstdint>
#include <list>
#include <string>

#include "base/runtime.hpp"
#include "net/http_server.hpp"

namespace asterstair::net {

/// A connection and the request it carries. HttpServer creates it and decides what to do; it
/// deletes itself when libuv has closed both handles.
struct HttpServer::Connection {
  /// Makes a connection with its handles initialized, for uv_accept().
  Connection(HttpServer* server, uv_loop_t* loop, std::uint64_t connection_id);

  HttpServer* owner;        ///< The server; never null.
  std::uint64_t id;         ///< Unique for the life of the server.
  uv_tcp_t tcp{};           ///< The socket.
  uv_timer_t timer{};       ///< Closes the connection when a time limit has passed.
  uv_write_t write{};       ///< Writes the response.
  http_parser parser{};     ///< Parses the request.
  bool closing = false;     ///< Whether it was closed.
  bool busy = false;        ///< Whether a request is being answered.
  bool in_request = false;  ///< Whether a byte of the request has come.
  bool complete = false;    ///< Whether the request has come whole.
  bool too_large = false;   ///< Whether the body exceeds its limit.
  bool no_room = false;     ///< Whether the server has no room for more of the body.
  bool keep = true;         ///< Whether the connection stays open after the response.
  bool idle = false;        ///< Whether it is in the server's list of idle connections.
  std::list<Connection*>::iterator idle_at;  ///< Its place in that list, if it is idle.
  HttpRequest request;                       ///< The request, as far as it has come.
  std::size_t buffered = 0;  ///< Bytes of the body that count as buffered by the server.
  std::string pending;       ///< Bytes that came while a request was being answered.
  std::string outgoing;      ///< The response as it is written.

  /// Makes the parser ready for the first request.
  void init_parser();

  /// Passes bytes of a request to the parser. Returns how many it has used.
  std::size_t execute_parser(const char* data, std::size_t size);

  /// Writes the response into `outgoing`.
  void encode_response(const HttpResponse& response);

  /// Closes both handles; the connection deletes itself after that.
  void close_handles();

  /// Gives libuv the server's buffer for the next read.
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
