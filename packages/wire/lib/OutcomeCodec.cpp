#include "OutcomeCodec.h"

#include <utility>

using namespace greengage;
using namespace greengage::wire;
using namespace greengage::wire::detail;

std::string
greengage::wire::detail::Text(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

flatbuffers::Offset<fb::Outcome>
greengage::wire::detail::EncodeOutcome(flatbuffers::FlatBufferBuilder& aBuilder,
                                       const Outcome& aOutcome)
{
  if (const auto* answered = std::get_if<Answered>(&aOutcome))
    return fb::CreateOutcome(aBuilder,
                             fb::OutcomeKind::Answered,
                             aBuilder.CreateString(answered->upstream.Value()),
                             answered->succeeded,
                             aBuilder.CreateString(answered->payload));
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  const Error& error =
    notRun != nullptr ? notRun->error : std::get<Unknown>(aOutcome).error;
  const auto kind =
    notRun != nullptr ? fb::OutcomeKind::NotRun : fb::OutcomeKind::Unknown;
  const auto detail = aBuilder.CreateString(error.detail);
  fb::OutcomeBuilder builder(aBuilder);
  builder.add_kind(kind);
  builder.add_error_kind(static_cast<std::uint8_t>(error.kind));
  builder.add_error_detail(detail);
  if (notRun != nullptr)
    builder.add_retry_after_ms(notRun->retryAfter.Millis());
  return builder.Finish();
}

Outcome
greengage::wire::detail::DecodeOutcome(const fb::Outcome& aFrom)
{
  if (aFrom.kind() == fb::OutcomeKind::Answered)
    return Answered{ .upstream = UpstreamId(Text(aFrom.upstream())),
                     .succeeded = aFrom.succeeded(),
                     .payload = Text(aFrom.payload()) };
  // A kind that this version does not know is still an error.
  const bool isKnown =
    aFrom.error_kind() <= static_cast<std::uint8_t>(ErrorKind::Internal);
  Error error{ .kind = isKnown ? static_cast<ErrorKind>(aFrom.error_kind())
                               : ErrorKind::Internal,
               .detail = Text(aFrom.error_detail()) };
  if (aFrom.kind() == fb::OutcomeKind::NotRun)
    return NotRun{ .error = std::move(error),
                   .retryAfter = Duration(aFrom.retry_after_ms()) };
  return Unknown{ .error = std::move(error) };
}
