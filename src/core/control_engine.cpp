#include <shallotcove/core/control_engine.hpp>

#include <set>

#include "control_state.hpp"

namespace shallotcove::core {

control_engine::implementation::implementation(const control_engine_options& options)
    : members(options.self, options.suspicionTimeout, options.randomSeed)
    , planning(options.plannerLease)
    , policy(limit_policy::create({}))
    , m_options(options)
    , m_random(options.randomSeed, options.self.id.value)
    , m_prober(options)
    , m_exchange(options.randomSeed)
    , m_limits(options.self.id, options.randomSeed)
    , m_capacity(capacity_estimator::create({}))
    , m_sync(options.isolationTimeout)
{
    setContacts();
}

void control_engine::implementation::setContacts()
{
    std::map<host_id, socket_address> contacts;
    for (const socket_address& seed : m_options.seeds)
        contacts.emplace(hostIdFor(seed), seed);
    for (const auto& [id, host] : members.listed())
        contacts.emplace(id, host.peerAddress);
    m_prober.setContacts(std::move(contacts));
}

void control_engine::implementation::applyEntries(const std::vector<store_entry>& entries)
{
    for (const store_entry& entry : entries) {
        // Hosts that do not watch the store could never catch up if a key did not fit into a message.
        if (entry.key.size() <= maximumReplicaKeyBytes)
            replica.apply(entry);
        else
            m_output.unreadableKeys.push_back(entry.key);
    }
}

void control_engine::implementation::handleStoreEntries(
    const std::vector<store_entry>& entries, config_index upTo)
{
    applyEntries(entries);
    replica.markAppliedUpTo(upTo);
    members.setAppliedIndex(replica.appliedIndex());
}

void control_engine::implementation::handleStoreContents(
    const std::vector<store_entry>& entries, config_index upTo)
{
    std::set<std::string> keys;
    for (const store_entry& entry : entries)
        keys.insert(entry.key);
    applyEntries(entries);
    replica.markCompleteUpTo(upTo, keys, upTo);
    members.setAppliedIndex(replica.appliedIndex());
}

void control_engine::implementation::handleHostList(const std::vector<listed_host>& hosts, timestamp now)
{
    members.setListedHosts(hosts, now);
    setContacts();
}

void control_engine::implementation::handlePacketEngineOutput(
    const packet_engine_output& output, timestamp /*now*/)
{
    for (const addressed_message& message : output.messages)
        m_output.messages.push_back(message);
    for (const server_evidence& evidence : output.servers)
        policy.addEvidence(evidence);
    for (const server_evidence& evidence : output.servers)
        m_reporter.addEvidence(evidence);
    members.setScanResults(output.retirementScanIndex, output.preparedScanIndex, output.blockedServices);
}

std::vector<socket_address> control_engine::implementation::hostsBehind(config_index index) const
{
    std::vector<socket_address> behind;
    for (const auto& [id, host] : members.listed())
        if (members.find(id) == nullptr)
            behind.push_back(host.peerAddress);
    std::vector<const member*> known = members.otherMembers();
    known.push_back(&members.self());
    for (const member* const host : known) {
        // Without the platform's host list, a dead host may still return and counts as behind.
        const bool isRemoved = host->state == member_state::Dead && members.hasHostList()
            && !members.listed().contains(host->id);
        if (host->appliedIndex < index && !isRemoved)
            behind.push_back(host->peerAddress);
    }
    return behind;
}

tl::expected<control_engine, control_engine_error> control_engine::create(
    const control_engine_options& options)
{
    if (options.self.peerAddress.port == 0)
        return tl::unexpected(control_engine_error::NoPeerAddress);
    if (options.self.dataCentre.empty())
        return tl::unexpected(control_engine_error::NoDataCentre);
    control_engine_options complete = options;
    complete.self.id = hostIdFor(options.self.peerAddress);
    complete.self.state = member_state::Alive;
    return control_engine(std::make_unique<implementation>(complete));
}

control_engine::control_engine(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

control_engine::control_engine(control_engine&&) noexcept = default;
control_engine& control_engine::operator=(control_engine&&) noexcept = default;
control_engine::~control_engine() = default;

void control_engine::handleMessage(
    host_id from, const socket_address& fromAddress, const peer_message& message, timestamp now)
{
    m_implementation->handleMessage(from, fromAddress, message, now);
}

void control_engine::handleStoreEntries(
    const std::vector<store_entry>& entries, config_index upTo, timestamp /*now*/)
{
    m_implementation->handleStoreEntries(entries, upTo);
}

void control_engine::handleStoreContents(
    const std::vector<store_entry>& entries, config_index upTo, timestamp /*now*/)
{
    m_implementation->handleStoreContents(entries, upTo);
}

void control_engine::handleHostList(const std::vector<listed_host>& hosts, timestamp now)
{
    m_implementation->handleHostList(hosts, now);
}

void control_engine::handleLease(bool isHeld, timestamp now)
{
    m_implementation->planning.handleLease(isHeld, now);
}

void control_engine::handleWriteResult(const std::string& key, std::optional<bool> wasWritten, timestamp now)
{
    m_implementation->planning.handleWriteResult(key, wasWritten, now);
}

void control_engine::handlePacketEngineOutput(const packet_engine_output& output, timestamp now)
{
    m_implementation->handlePacketEngineOutput(output, now);
}

void control_engine::handleHealth(
    service_id service, backend_server_id server, bool isHealthy, timestamp /*now*/)
{
    m_implementation->policy.setHealth(service, server, isHealthy);
}

void control_engine::leave(timestamp /*now*/) { m_implementation->members.leave(); }

control_engine_output control_engine::advance(timestamp now) { return m_implementation->advance(now); }

std::vector<member> control_engine::members() const
{
    std::vector<member> result { m_implementation->members.self() };
    for (const member* const other : m_implementation->members.otherMembers())
        result.push_back(*other);
    return result;
}

config_index control_engine::appliedIndex() const { return m_implementation->replica.appliedIndex(); }

std::optional<store_entry> control_engine::entry(const std::string& key) const
{
    return m_implementation->replica.find(key);
}

std::vector<store_entry> control_engine::entries() const
{
    std::vector<store_entry> result;
    for (const auto& [key, entry] : m_implementation->replica.entries())
        if (!entry.isDeleted)
            result.push_back(entry);
    return result;
}

std::vector<socket_address> control_engine::hostsBehind(config_index index) const
{
    return m_implementation->hostsBehind(index);
}

} // namespace shallotcove::core
