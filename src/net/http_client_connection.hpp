#pragma once
/// @file
/// One connection of the HTTP client, with the parser of its response. Used by HttpClient only.

#include <http_parser.h>
#include <uv.h>

#include <cstdint>
#include <string>

#include "base/runtime.hpp"
#include "net/http_client.hpp"

namespace asterstair::net {

/// A connection and the request it serves. HttpClient creates it and decides what to do; it deletes
/// itself when libuv has closed both handles.
struct HttpClient::Connection {
  /// Makes a connection to the address, with its handles initialized but not connected.
  Connection(HttpClient* client, uv_loop_t* loop, std::string target_address);

  HttpClient* owner;             ///< The client; never null.
  std::string address;           ///< Where it leads.
  uv_tcp_t tcp{};                ///< The socket.
  uv_timer_t timer{};            ///< The timeout of the request.
  uv_connect_t connect{};        ///< Opens the connection.
  uv_write_t write{};            ///< Writes the request.
  http_parser parser{};          ///< Parses the response.
  bool connected = false;        ///< Whether the socket is open for requests.
  bool closing = false;          ///< Whether close() was called.
  bool busy = false;             ///< Whether a request waits for its response.
  bool got_bytes = false;        ///< Whether any of the response has come.
  bool writing = false;          ///< Whether `write` is the loop's until its callback.
  std::uint64_t idle_since = 0;  ///< The client's count of turns when it became idle.
  HttpRequest request;           ///< The request.
  std::string outgoing;          ///< The request as it is written.
  HttpCallback done;             ///< Called with the response.
  HttpResponse response;         ///< The response, as far as it has come.
  std::string header_field;      ///< Name of the header that is being parsed.
  std::string header_value;      ///< Value of the header that is being parsed.

  /// Prepares for the next request.
  void begin_request(HttpRequest next_request, HttpCallback callback);

  /// Makes the parser ready for a response, and writes the request into `outgoing`.
  void encode_request();

  /// Passes bytes of the response to the parser. Returns how many it has used.
  std::size_t execute_parser(const char* data, std::size_t size);

  /// Closes both handles; the connection deletes itself after that.
  void close();

  /// Gives libuv the client's buffer for the next read.
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
