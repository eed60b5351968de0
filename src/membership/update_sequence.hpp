// Decides which updates of an endpoint list may be applied. A delta contains the changes since one version;
// applied to any other version, it would miss servers that were added or removed in between. No I/O; not
// thread-safe; no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>

namespace chalksail::membership {

// Tracks the version numbers that one discovery service has delivered.
class UpdateSequence {
public:
    enum class Decision {
        apply,
        ignore,       // an empty delta of the version in force: nothing changes
        out_of_order  // does not follow the version in force; a snapshot is needed
    };
    // Forgets the version in force: the list of this discovery service is unknown or can't be trusted.
    void reset() { generation_.reset(); }
    // Decides on an update. If it returns `apply`, `generation` becomes the version in force. `empty` means
    // that the update has no entries.
    [[nodiscard]] Decision accept(EndpointUpdateKind kind, std::int64_t generation, bool empty);
    // Returns the version of the list in force, or std::nullopt if none is known.
    [[nodiscard]] std::optional<std::int64_t> generation() const { return generation_; }

private:
    std::optional<std::int64_t> generation_;
};

}  // namespace chalksail::membership
