#pragma once

#include "core/strong_type.h"

#include <cstdint>
#include <string>

namespace boragepath {

/** Names one entry VM, for example "vm-3". It survives a replacement of the VM. */
using VmId = StrongType<std::string, struct VmIdTag>;
/** Names an availability zone. */
using ZoneId = StrongType<std::string, struct ZoneIdTag>;
/** Names one catalogue entry. */
using EntryName = StrongType<std::string, struct EntryNameTag>;
/** Names one program within its entry; the caller chooses it. */
using ProgramId = StrongType<std::string, struct ProgramIdTag>;
/** Names a model, or a plain service, that backend servers offer. */
using PoolName = StrongType<std::string, struct PoolNameTag>;
/** Names one backend server (one replica of a pool). */
using ReplicaId = StrongType<std::string, struct ReplicaIdTag>;
/** Index of a program shard, from 0 to the deployment's shard count. */
using ShardIndex = StrongType<std::uint32_t, struct ShardIndexTag>;
/** Position of a call in its program, from 1. */
using CallNumber = StrongType<std::uint32_t, struct CallNumberTag>;
/** Grows with every incarnation of any VM; orders of a smaller one are old. */
using FenceNumber = StrongType<std::uint64_t, struct FenceNumberTag>;
/** Revision of the whole catalogue; grows with every accepted change. */
using CatalogueRevision = StrongType<std::uint64_t, struct CatalogueRevisionTag>;
/** Revision of one row of the table service; 0 stands for an absent row. */
using RowRevision = StrongType<std::uint64_t, struct RowRevisionTag>;
/** A call that a caller's connection waits for; unique within one process. */
using CallHandle = StrongType<std::uint64_t, struct CallHandleTag>;
/** One request for a permit; unique within one incarnation of the asking VM. */
using PermitId = StrongType<std::uint64_t, struct PermitIdTag>;

/** One attempt of a caller to have a request served; a kept turn is named by it. */
using AttemptId = StrongType<std::string, struct AttemptIdTag>;
/** Version of the operator's configuration; grows in uneven steps. */
using ConfigurationVersion = StrongType<std::int64_t, struct ConfigurationVersionTag>;

/** A program's full name: ids are scoped to the entry, so customers cannot collide. */
struct ProgramKey
{
    EntryName entry;
    ProgramId program;

    friend auto operator<=>(const ProgramKey &, const ProgramKey &) = default;
};

} // namespace boragepath
