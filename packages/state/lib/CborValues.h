/// \file
/// The CBOR objects of the values that commands and snapshots share. Reading
/// throws the library's exceptions, which the codecs turn into errors.

#ifndef GREENGAGE_STATE_LIB_CBORVALUES_H
#define GREENGAGE_STATE_LIB_CBORVALUES_H

#include "greengage/core/Error.h"
#include "greengage/state/Command.h"
#include "greengage/state/SettingsTree.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::state::detail {

using Cbor = nlohmann::json;

std::string
BytesOf(const Cbor& aObject);

Cbor
ToCbor(const Origin& aOrigin);
Origin
OriginFrom(const Cbor& aObject);

Cbor
ToCbor(const std::vector<ValueChange>& aChanges);
std::vector<ValueChange>
ChangesFrom(const Cbor& aList);

Cbor
ToCbor(const SettingsTree& aTree);
SettingsTree
TreeFrom(const Cbor& aObject);

Cbor
ToCbor(const CommandResult& aResult);
CommandResult
ResultFrom(const Cbor& aObject);

Cbor
ToCbor(const std::optional<std::string>& aText);
std::optional<std::string>
TextFrom(const Cbor& aValue);

ErrorKind
ErrorKindFrom(const Cbor& aValue);

/// Reads \p aBytes with \p aRead. Nothing, with the reason, if they are not
/// what \p aWhat names.
template<typename Read>
auto
ReadBytes(std::string_view aBytes,
          const char* aWhat,
          Error& aReason,
          Read&& aRead) -> std::optional<decltype(aRead(Cbor()))>
{
  try {
    return aRead(Cbor::from_cbor(aBytes.begin(), aBytes.end()));
  } catch (const nlohmann::json::exception& error) {
    return Fail(aReason,
                ErrorKind::Malformed,
                std::string("not a ") + aWhat + ": " + error.what());
  }
}

} // namespace greengage::state::detail

#endif // GREENGAGE_STATE_LIB_CBORVALUES_H
