// Request parser that also limits the number of fields.
#ifndef BRONZEBARROW_NET_REQUEST_PARSER_H_
#define BRONZEBARROW_NET_REQUEST_PARSER_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

namespace bronzebarrow::net {

/**
 * A field takes twenty times its bytes in the message, so that heads within the
 * limit on their size would hold a quarter of a megabyte each. Ordinary clients
 * send fewer than twenty.
 */
constexpr std::size_t kMaxFields = 100;

class RequestParser : public boost::beast::http::request_parser<
                          boost::beast::http::string_body> {
 private:
  // Fields of the head, and those that follow a body in chunks.
  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::beast::error_code& error) override {
    if (m_fields == kMaxFields) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    ++m_fields;
    get().insert(name, name_text, value);
  }

  std::size_t m_fields = 0;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_REQUEST_PARSER_H_
