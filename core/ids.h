#pragma once

#include "core/strong_type.h"

#include <cstdint>
#include <string>

namespace boragepath {

/** Name of one entry VM, for example "vm-3". A VM that replaces it takes the same name. */
using VmId = StrongType<std::string, struct VmIdTag>;
/** Name of an availability zone. */
using ZoneId = StrongType<std::string, struct ZoneIdTag>;
/** Name of one catalogue entry. */
using EntryName = StrongType<std::string, struct EntryNameTag>;
/** Name of an organisation, a customer of the deployment. */
using OrganisationId = StrongType<std::string, struct OrganisationIdTag>;
/** Name of one program, unique within its entry. The caller chooses it. */
using ProgramId = StrongType<std::string, struct ProgramIdTag>;
/** Name of a model, or of a plain service, that backend servers offer. */
using PoolName = StrongType<std::string, struct PoolNameTag>;
/** Name of one backend server (one replica of a pool). */
using ReplicaId = StrongType<std::string, struct ReplicaIdTag>;
/** Version of a backend server's software; versions of one service have no order. */
using SoftwareVersion = StrongType<std::string, struct SoftwareVersionTag>;
/** Index of a program shard, from 0 to the deployment's shard count. */
using ShardIndex = StrongType<std::uint32_t, struct ShardIndexTag>;
/** Position of a call in its program, counted from 1. */
using CallNumber = StrongType<std::uint32_t, struct CallNumberTag>;
/** Fencing number. Each start of any VM gets a higher one; requests with a lower one are stale. */
using FenceNumber = StrongType<std::uint64_t, struct FenceNumberTag>;
/** Revision of the whole catalogue; every accepted change increases it. */
using CatalogueRevision = StrongType<std::uint64_t, struct CatalogueRevisionTag>;
/** Revision of one row of the table service; 0 means that the row does not exist. */
using RowRevision = StrongType<std::uint64_t, struct RowRevisionTag>;
/** Identifies a call that a caller's connection waits for; unique within one process. */
using CallHandle = StrongType<std::uint64_t, struct CallHandleTag>;
/** Identifies one permit request; unique within one incarnation of the requesting VM. */
using PermitId = StrongType<std::uint64_t, struct PermitIdTag>;

/** Identifies one attempt of a caller to get a request served, and the turn stored for it. */
using AttemptId = StrongType<std::string, struct AttemptIdTag>;
/** Version of the operator's configuration; it increases, but not always by one. */
using ConfigurationVersion = StrongType<std::int64_t, struct ConfigurationVersionTag>;

/** Full name of a program. Ids are scoped to the entry, so ids of two customers never collide. */
struct ProgramKey
{
    EntryName entry;
    ProgramId program;

    friend auto operator<=>(const ProgramKey &, const ProgramKey &) = default;
};

} // namespace boragepath
