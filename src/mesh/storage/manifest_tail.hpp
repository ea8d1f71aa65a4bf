#pragma once

// Detects a torn record at the end of a LevelDB manifest, as a power loss during a write leaves it. LevelDB
// reports it as corruption and refuses to open, although nothing depends on a record that was never synced.
// The format is that of LevelDB's logs: blocks of 32 KiB with records that each have a checksum.

#include <cstddef>
#include <string_view>

namespace rackroute::mesh {

/// Size of the manifest without a torn record at its end. A damaged record that is followed by a complete one
/// in a later block is corruption: the full size is returned then, so that LevelDB reports it.
std::size_t readableManifestSize(std::string_view manifest);

}  // namespace rackroute::mesh
