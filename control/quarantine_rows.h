#pragma once

#include "control/request_quarantine.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace boragepath {

/** Table of the quarantined requests; a row's key is the text of the request's fingerprint. */
extern const char *const QuarantineTable;

/** Encodes what is known about a quarantined request for its row. */
std::string encodeQuarantineRow(const peers::RequestCrashNews &news, WallTime now);
/** Reads a row; nothing if it cannot be read. */
std::optional<peers::RequestCrashNews> decodeQuarantineRow(const StoreRow &row, WallTime now);

/**
 * Keeps the quarantined requests in the store, so that they stay so when all VMs have lost their
 * memory, and when VMs see the store but not each other.
 *
 * Only requests that were found out have a row; it is written by the VMs that saw one of the
 * crashes. An operator quarantines a request by writing a row and releases it by removing the row.
 */
class QuarantineRows
{
public:
    QuarantineRows(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
                   RequestQuarantine &quarantine, std::uint64_t seed);

    /** Reads the rows and follows their changes. */
    void start();

private:
    void read();
    void follow();
    void apply(const std::vector<StoreRow> &rows);
    void handleChange(const RequestFingerprint &request);
    /** Writes or removes the row of a request, as it stands; tries again if the store fails. */
    void save(const RequestFingerprint &request, int triesLeft);
    Milliseconds retryDelay();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    const VmDirectory &m_vms;
    RequestQuarantine &m_quarantine;
    std::mt19937_64 m_random;
    /** Changes up to this version have been applied. */
    RowRevision m_revision;
};

} // namespace boragepath
