#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "control_fleet.hpp"

namespace core = shallotcove::core;
using core::control_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t hostCount = 5;

enum class step_kind : std::uint8_t { Write, Delete, Cut, Heal, Loss, Pause, Stop, Store, Run };

struct fuzz_step {
    step_kind kind { step_kind::Run };
    std::uint32_t number {};
};

std::ostream& operator<<(std::ostream& out, const fuzz_step& step)
{
    constexpr std::array names { "Write", "Delete", "Cut", "Heal", "Loss", "Pause", "Stop", "Store", "Run" };
    return out << names[static_cast<std::size_t>(step.kind)] << ' ' << step.number;
}

rc::Gen<fuzz_step> anyStep()
{
    const rc::Gen<step_kind> kind = rc::gen::weightedElement<step_kind>({ { 6, step_kind::Write },
        { 2, step_kind::Delete }, { 2, step_kind::Cut }, { 1, step_kind::Heal }, { 1, step_kind::Loss },
        { 2, step_kind::Pause }, { 2, step_kind::Stop }, { 1, step_kind::Store }, { 8, step_kind::Run } });
    return rc::gen::construct<fuzz_step>(kind, rc::gen::inRange<std::uint32_t>(0, 1U << 16));
}

/// Records all versions of all keys in the store, and checks what the hosts know against them.
class oracle {
public:
    explicit oracle(const control_fleet& fleet)
        : m_fleet(fleet)
        , m_progress(hostCount)
    {
    }

    void recordWrite(const std::string& key)
    {
        const core::store_entry& entry = m_fleet.store.at(key);
        m_history[key][entry.modified] = entry;
    }
    void resetHost(std::size_t index) { m_progress[index] = {}; }

    void check()
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            if (m_fleet.hosts[i].engine)
                checkHost(*m_fleet.hosts[i].engine, m_progress[i]);
    }

private:
    struct host_progress {
        core::config_index applied;
        std::map<std::string, core::config_index> modified;
    };

    void checkHost(const core::control_engine& engine, host_progress& progress)
    {
        const core::config_index applied = engine.appliedIndex();
        RC_ASSERT(applied.value >= progress.applied.value);
        RC_ASSERT(applied.value <= m_fleet.revision.value);
        progress.applied = applied;
        for (const auto& [key, versions] : m_history) {
            const std::optional<core::store_entry> entry = engine.entry(key);
            const core::config_index modified = entry ? entry->modified : core::config_index {};
            RC_ASSERT(modified.value >= progress.modified[key].value);
            progress.modified[key] = modified;
            checkValue(entry, versions);
            checkApplied(entry, versions, applied);
        }
    }

    /// A host must hold only values that the store held. Its index of a deletion may be later than in the
    /// store.
    void checkValue(const std::optional<core::store_entry>& entry,
        const std::map<core::config_index, core::store_entry>& versions) const
    {
        if (!entry)
            return;
        const auto next = versions.upper_bound(entry->modified);
        RC_ASSERT(next != versions.begin());
        const core::store_entry& version = std::prev(next)->second;
        RC_ASSERT(entry->isDeleted == version.isDeleted);
        RC_ASSERT(entry->isDeleted || *entry == version);
    }

    /// A host must know each key's last change up to its applied index, or a later one.
    void checkApplied(const std::optional<core::store_entry>& entry,
        const std::map<core::config_index, core::store_entry>& versions, core::config_index applied) const
    {
        const auto next = versions.upper_bound(applied);
        if (next == versions.begin())
            return;
        const core::store_entry& version = std::prev(next)->second;
        // A host that knows an earlier deletion of the key keeps the index of that one when a complete read
        // lacks the key.
        if (entry && entry->isDeleted && version.isDeleted)
            return;
        if (entry)
            RC_ASSERT(entry->modified.value >= version.modified.value);
        else
            RC_ASSERT(version.isDeleted);
    }

    const control_fleet& m_fleet;
    std::map<std::string, std::map<core::config_index, core::store_entry>> m_history;
    std::vector<host_progress> m_progress;
};

class fuzz_run {
public:
    explicit fuzz_run(std::uint64_t seed)
        : m_fleet(hostCount, seed)
        , m_oracle(m_fleet)
    {
        m_fleet.dataCentres = 2;
        m_fleet.jitter = milliseconds { 40 };
        m_fleet.duplication = 0.05;
        for (std::size_t i = 0; i < hostCount; ++i)
            start(i);
        run(seconds { 3 });
    }

    void apply(const fuzz_step& step)
    {
        const std::size_t host = step.number % hostCount;
        switch (step.kind) {
        case step_kind::Write:
            return write(step.number, false);
        case step_kind::Delete:
            return write(step.number, true);
        case step_kind::Cut:
            m_fleet.isCut = [mask = step.number](std::size_t from, std::size_t to) {
                return (mask >> from & 1) != (mask >> to & 1);
            };
            return;
        case step_kind::Heal:
            m_fleet.isCut = [](std::size_t, std::size_t) { return false; };
            return;
        case step_kind::Loss:
            m_fleet.loss = (step.number % 4) * 0.15;
            return;
        case step_kind::Pause:
            m_fleet.hosts[host].isPaused = !m_fleet.hosts[host].isPaused;
            return;
        case step_kind::Stop:
            return m_fleet.hosts[host].engine ? stop(host) : start(host);
        case step_kind::Store:
            m_fleet.isStoreUp = !m_fleet.isStoreUp;
            return;
        case step_kind::Run:
            return run(milliseconds { 10 + step.number % 1500 });
        }
    }

    /// Ends all faults and checks that within 15 s every host is synchronized and has exactly the keys of the
    /// store.
    void settle()
    {
        m_fleet.loss = 0;
        m_fleet.isStoreUp = true;
        apply({ step_kind::Heal, 0 });
        for (std::size_t i = 0; i < hostCount; ++i) {
            m_fleet.hosts[i].isPaused = false;
            if (!m_fleet.hosts[i].engine)
                start(i);
        }
        run(seconds { 15 });
        RC_ASSERT(m_fleet.isConverged());
        std::vector<core::store_entry> expected;
        for (const auto& [key, entry] : m_fleet.store)
            if (!entry.isDeleted)
                expected.push_back(entry);
        for (const control_fleet::host& host : m_fleet.hosts) {
            RC_ASSERT(host.engine->appliedIndex().value == m_fleet.revision.value);
            RC_ASSERT(host.engine->entries() == expected);
            RC_ASSERT(host.snapshot->sync == core::sync_state::Synchronized);
        }
    }

private:
    void start(std::size_t index)
    {
        m_fleet.start(index, { control_fleet::addressOf(0), control_fleet::addressOf(1) });
        m_oracle.resetHost(index);
    }

    void stop(std::size_t index)
    {
        m_fleet.stop(index);
        m_fleet.hosts[index].isPaused = false;
    }

    void write(std::uint32_t number, bool isDeleted)
    {
        const std::string key = "settings/" + std::to_string(number % 7);
        const std::size_t length = number % 5 == 0 ? 30'000 : number % 3000;
        const std::string value = std::to_string(m_fleet.revision.value) + std::string(length, 'x');
        // The deletion of a key that does not exist does not change the store's revision.
        if (isDeleted && (!m_fleet.store.contains(key) || m_fleet.store.at(key).isDeleted))
            return;
        m_fleet.write(key, isDeleted ? std::string() : value, isDeleted);
        m_oracle.recordWrite(key);
    }

    void run(core::duration length)
    {
        m_fleet.run(length, [this] { m_oracle.check(); });
    }

    control_fleet m_fleet;
    oracle m_oracle;
};

} // namespace

// Under any sequence of writes, partitions, packet loss, pauses, restarts and outages of the store, guards
// against a host whose configuration reverts, that claims an index without having all changes up to it, or
// that does not get the configuration once the faults end (invariant I10).
Test(control_fuzz, configuration_never_reverts_and_spreads)
{
    const bool hasPassed = rc::check("configuration never reverts and spreads", [](std::uint64_t seed) {
        fuzz_run run(seed);
        for (const fuzz_step& step : *rc::gen::container<std::vector<fuzz_step>>(anyStep()))
            run.apply(step);
        run.settle();
    });
    cr_assert(hasPassed);
}
