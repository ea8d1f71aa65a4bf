#pragma once

// The end of a LevelDB manifest after a loss of power: its last record may be torn, if it was being written.
// LevelDB takes that for damage and does not open, though nothing rests on a record that was never synced.
// It reads the format of LevelDB's logs: blocks of 32 KiB, filled with records that each carry a checksum.

#include <cstddef>
#include <string_view>

namespace rackroute::mesh {

/// How many bytes of the manifest are to be read: all of them but a torn record at the end. A damaged record
/// with a whole one in a later block is no torn end; all is to be read then, so that it is told of.
std::size_t readableManifestSize(std::string_view manifest);

}  // namespace rackroute::mesh
