#pragma once
/// @file
/// One connection of the HTTP client with its response parser. Used by HttpClient only.

#include <http_parser.h>
#include <uv.h>

#include <cstdint>
#include <string>

#include "base/runtime.hpp"
#include "net/http_client.hpp"

namespace asterstair::net {

/// A connection and its current request. HttpClient creates and controls it; it deletes itself when
/// libuv has closed both handles.
struct HttpClient::Connection {
  /// Creates an unconnected connection to the address and initializes its handles.
  Connection(HttpClient* client, uv_loop_t* loop, std::string target_address);

  HttpClient* owner;                ///< The client; never null.
  std::string address;              ///< Address of the server.
  uv_tcp_t tcp{};                   ///< The socket.
  uv_timer_t timer{};               ///< The timeout of the request.
  uv_connect_t connect{};           ///< Opens the connection.
  uv_write_t write{};               ///< Writes the request.
  http_parser parser{};             ///< Parses the response.
  bool connected = false;           ///< Whether the socket is open for requests.
  bool closing = false;             ///< Whether close() was called.
  bool busy = false;                ///< Whether a request waits for its response.
  bool response_started = false;    ///< Whether any byte of the response has arrived.
  bool writing = false;             ///< Whether libuv still owns `write`; its callback has not run.
  std::uint64_t idle_sequence = 0;  ///< The client's sequence number when it became idle.
  HttpRequest request;              ///< The request.
  std::string outgoing;             ///< The encoded request.
  HttpCallback done;                ///< Called with the response.
  HttpResponse response;            ///< The part of the response received so far.
  std::string header_field;         ///< Name of the header that is being parsed.
  std::string header_value;         ///< Value of the header that is being parsed.

  /// Prepares for the next request.
  void begin_request(HttpRequest next_request, HttpCallback callback);

  /// Resets the parser for a response and encodes the request into `outgoing`.
  void encode_request();

  /// Passes bytes of the response to the parser. Returns the number of bytes that it consumed.
  std::size_t execute_parser(const char* data, std::size_t size);

  /// Closes both handles; the connection deletes itself after that.
  void close();

  /// Provides the client's shared buffer to libuv for the next read.
  static void allocate_read_buffer(uv_handle_t* handle, std::size_t suggested, uv_buf_t* buffer);

 private:
  static const http_parser_settings& parser_settings();
  static int on_header_field(http_parser* parser, const char* data, std::size_t size);
  static int on_header_value(http_parser* parser, const char* data, std::size_t size);
  static int on_headers_complete(http_parser* parser);
  static int on_body(http_parser* parser, const char* data, std::size_t size);
  static int on_message_complete(http_parser* parser);
  void end_header();

  int open_handles_ = 2;
};

}  // namespace asterstair::net
