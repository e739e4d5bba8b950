#pragma once

namespace quincebank {

class fiber_thread;
class http_client;
class http_exchange;
class http_headers;
class http_server;
class http_stream;
class memory_budget;
class stop_signal;
struct endpoint;
struct http_call;
struct http_request;
struct http_response;

}  // namespace quincebank
