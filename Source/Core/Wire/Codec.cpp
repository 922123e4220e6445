#include "Wire/Codec.h"

#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <stdexcept>
#include <type_traits>
#include <utility>
#include <vector>

#include "Wire/Fields.h"
#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::wire {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
concept HasFields = requires(T& it) {
  Fields(it);
};

template <typename T>
void Pack(Packer& packer, const T& value);

template <typename Tag>
void Pack(Packer& packer, const common::Name<Tag>& name) {
  packer.pack(name.value);
}

template <typename Rep, typename Period>
void Pack(Packer& packer, const std::chrono::duration<Rep, Period>& value) {
  packer.pack(static_cast<std::int64_t>(value.count()));
}

template <typename T>
void Pack(Packer& packer, const std::vector<T>& values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const T& it : values) Pack(packer, it);
}

template <typename T>
void Pack(Packer& packer, const T& value) {
  if constexpr (std::is_enum_v<T>) {
    packer.pack(static_cast<std::uint64_t>(common::ToNumber(value)));
  } else if constexpr (HasFields<const T>) {
    const auto fields = Fields(value);
    packer.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&](const auto&... it) { (Pack(packer, it), ...); }, fields);
  } else {
    packer.pack(value);
  }
}

template <typename T>
void Unpack(const msgpack::object& object, T* value);

template <typename Tag>
void Unpack(const msgpack::object& object, common::Name<Tag>* name) {
  object.convert(name->value);
}

template <typename Rep, typename Period>
void Unpack(const msgpack::object& object,
            std::chrono::duration<Rep, Period>* value) {
  *value = std::chrono::duration<Rep, Period>(object.as<std::int64_t>());
}

const msgpack::object_array& AsArray(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
  return object.via.array;
}

template <typename T>
void Unpack(const msgpack::object& object, std::vector<T>* values) {
  const msgpack::object_array& array = AsArray(object);
  values->resize(array.size);
  for (std::uint32_t i = 0; i < array.size; ++i) {
    Unpack(array.ptr[i], &(*values)[i]);
  }
}

template <typename T>
void Unpack(const msgpack::object& object, T* value) {
  if constexpr (std::is_enum_v<T>) {
    const auto number = object.as<std::underlying_type_t<T>>();
    *value = static_cast<T>(number);
  } else if constexpr (HasFields<T>) {
    auto fields = Fields(*value);
    const msgpack::object_array& array = AsArray(object);
    if (array.size != std::tuple_size_v<decltype(fields)>) {
      throw msgpack::type_error();
    }
    std::uint32_t i = 0;
    std::apply([&](auto&... it) { (Unpack(array.ptr[i++], &it), ...); },
               fields);
  } else {
    object.convert(*value);
  }
}

// Sets `body` to the alternative with index `number` and decodes it.
template <typename Body, std::size_t I = 0>
void UnpackBody(std::size_t number, const msgpack::object& object, Body* body) {
  if constexpr (I < std::variant_size_v<Body>) {
    if (number != I) return UnpackBody<Body, I + 1>(number, object, body);
    Unpack(object, &body->template emplace<I>());
  } else {
    throw msgpack::type_error();
  }
}

constexpr std::uint32_t kEnvelopeFields = 5;
constexpr std::size_t kMaxDepth = 16;

// Limits every length to the size of the message, as an element takes at least
// one byte. Without the limit, a message of five bytes whose header declares a
// long array makes the decoder allocate gigabytes.
msgpack::unpack_limit UnpackLimitFor(std::size_t bytes) {
  return {bytes, bytes, bytes, bytes, bytes, kMaxDepth};
}

template <typename Envelope>
std::string EncodeEnvelope(const Envelope& envelope) {
  msgpack::sbuffer buf;
  Packer packer(buf);
  packer.pack_array(kEnvelopeFields);
  packer.pack(kFormat);
  Pack(packer, envelope.sender);
  Pack(packer, envelope.incarnation);
  packer.pack(static_cast<std::uint64_t>(envelope.body.index()));
  std::visit([&](const auto& it) { Pack(packer, it); }, envelope.body);
  return {buf.data(), buf.size()};
}

template <typename Envelope>
absl::StatusOr<Envelope> DecodeEnvelope(std::string_view bytes) {
  // msgpack throws exceptions on malformed input.
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        UnpackLimitFor(bytes.size()));
    const msgpack::object_array& array = AsArray(handle.get());
    if (array.size != kEnvelopeFields) throw msgpack::type_error();
    if (array.ptr[0].as<int>() != kFormat) {
      return absl::InvalidArgumentError(
          absl::StrCat("unsupported control message format ",
                       array.ptr[0].as<int>(), ", expected ", kFormat));
    }
    Envelope envelope;
    Unpack(array.ptr[1], &envelope.sender);
    Unpack(array.ptr[2], &envelope.incarnation);
    UnpackBody(array.ptr[3].as<std::size_t>(), array.ptr[4], &envelope.body);
    return envelope;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("malformed control message: ", error.what()));
  }
}

}  // namespace

std::string Encode(const protocol::Envelope& envelope) {
  return EncodeEnvelope(envelope);
}

absl::StatusOr<protocol::Envelope> Decode(std::string_view bytes) {
  return DecodeEnvelope<protocol::Envelope>(bytes);
}

std::string Encode(const protocol::SchedulingEnvelope& envelope) {
  return EncodeEnvelope(envelope);
}

absl::StatusOr<protocol::SchedulingEnvelope> DecodeScheduling(
    std::string_view bytes) {
  return DecodeEnvelope<protocol::SchedulingEnvelope>(bytes);
}

}  // namespace shallotbeam::wire
