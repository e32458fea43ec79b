#pragma once

#include "control/outage/lending_witness.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "peers/gen/messages_types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace boragepath {

/** The table that holds one row with a WitnessList for each lender. */
inline constexpr const char *WitnessTable = "lender-witnesses";

/** The row with the witnesses of a lender. */
RowName witnessRow(const std::string &lender);

/**
 * Lets this VM lend only while its witnesses know that it may have lent.
 *
 * Designed for the loss of a lender: whoever replaces it learns from the witnesses whether it can
 * have lent anything, so that a VM that is killed while the store works costs its programs nothing.
 * The list of witnesses stands in a row. A VM that has never asked the store to write one lends
 * without witnesses, and counts as one that may have lent.
 */
class LendingRights
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::LendingNote &note)>;

    /** @param onGranted is called when this VM may lend after it could not. */
    LendingRights(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
                  Send send, std::function<void()> onGranted, std::uint64_t seed);

    /** True if enough witnesses know that this VM lends. */
    bool mayLend() const;
    /** Tells the witnesses that this VM is about to lend. */
    void request();
    /** True for a short time after a request, in which the witnesses are likely to answer. */
    bool isPending() const;
    /** The rows contain all that this VM has lent. */
    void noteSettled();
    /**
     * Writes a list of witnesses if there is none, or if some of them have ended. To be called only
     * while the rows contain all that this VM has lent.
     *
     * @param lenders the version of the row with the lenders, which must still be the newest one.
     */
    void maintain(const RowCondition &lenders);
    /** A witness has acknowledged a notice. */
    void handleAcknowledgement(const peers::LendingNote &note);

private:
    /** A witness may refuse a list that it has testified for, and acknowledge a later one. */
    struct Acknowledgement
    {
        std::int64_t revision = 0;
        std::string witness;

        friend auto operator<=>(const Acknowledgement &, const Acknowledgement &) = default;
    };

    /** True if @p list may be the one in the row and lacks acknowledgements. */
    bool lacksAcknowledgements(const std::optional<WitnessList> &list) const;
    /** The list to write; none if the one in the row still serves. */
    std::optional<WitnessList> newList();
    void write(const RowCondition &lenders, const WitnessList &list);
    void onWritten(const TransactionResult &result);
    void confirm(RowRevision version);
    void sendToWitnesses(peers::LendingNoteKind::type kind);
    void sendNotices();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    const VmDirectory &m_vms;
    Send m_send;
    std::function<void()> m_onGranted;
    std::mt19937_64 m_random;
    std::string m_self;
    /** The list in the row, and one that a write whose outcome is unknown may put there. */
    std::optional<WitnessList> m_list;
    std::optional<WitnessList> m_unconfirmedList;
    /** Version of this VM's row as it was last seen; 0 if there was none. */
    RowRevision m_rowVersion;
    bool m_writing = false;
    /** A write of the unconfirmed list was not answered, and may take effect at any time. */
    bool m_mayBeWritten = false;
    SteadyTime m_nextWriteAt;
    /** Number of the last notice; the rows lack what was lent after it if it is not cleared. */
    std::int64_t m_sequence = 0;
    bool m_isLending = false;
    SteadyTime m_requestedAt;
    bool m_noticesScheduled = false;
    /** For the last notice. */
    std::set<Acknowledgement> m_acknowledged;
};

} // namespace boragepath
