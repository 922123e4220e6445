#ifndef SHALLOTBEAM_CORE_FORWARDING_APPENDINGBODY_H_
#define SHALLOTBEAM_CORE_FORWARDING_APPENDINGBODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace shallotbeam::forwarding {

// Body of a message that grows with the bytes received. Beast's string_body
// allocates the stated length at once, so that a peer that states a length of
// terabytes makes the allocation fail.
struct AppendingBody {
  // Beast requires these names. NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  class reader {
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& ec) {
      ec = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      const std::size_t before = body_.size();
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer piece = *it;
        body_.append(static_cast<const char*>(piece.data()), piece.size());
      }
      return body_.size() - before;
    }

    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_APPENDINGBODY_H_
