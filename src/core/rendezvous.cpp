#include <shallotcove/core/rendezvous.hpp>

#include <cmath>
#include <cstdint>
#include <limits>

namespace shallotcove::core {

namespace {

    /// Finalizer of SplitMix64.
    constexpr std::uint64_t mix(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
        return value ^ (value >> 31);
    }

    struct ranked_server {
        double score { -1.0 };
        backend_server_id server;

        friend auto operator<=>(const ranked_server&, const ranked_server&) = default;
    };

    ranked_server nextAfter(
        const flow_hash& flow, std::span<const weighted_server> servers, const ranked_server& previous)
    {
        ranked_server best { std::numeric_limits<double>::infinity(), {} };
        for (const weighted_server& candidate : servers) {
            if (candidate.weight == 0)
                continue;
            const ranked_server ranked { rendezvousCost(flow, candidate.server) / candidate.weight,
                candidate.server };
            if (ranked > previous && ranked < best)
                best = ranked;
        }
        return best;
    }

} // namespace

double rendezvousCost(const flow_hash& flow, backend_server_id server)
{
    // The id is mixed first: consecutive ids, combined directly with the flow hash, would give inputs that
    // differ in few bits.
    const std::uint64_t bits = mix(flow.low ^ mix(server.value));
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return -std::log((static_cast<double>(bits >> 11) + 0.5) * scale);
}

std::optional<backend_server_id> chooseServer(
    const flow_hash& flow, std::span<const weighted_server> servers, std::size_t rank)
{
    ranked_server current;
    for (std::size_t step = 0; step <= rank; ++step) {
        current = nextAfter(flow, servers, current);
        if (std::isinf(current.score))
            return std::nullopt;
    }
    return current.server;
}

host_ranks rankHosts(const flow_hash& flow, std::span<const host_id> hosts)
{
    // Uses the half of the flow hash that chooseServer() does not use, so that the flows of one server are
    // spread over all owners.
    host_ranks ranks;
    std::uint64_t ownerScore {};
    std::uint64_t backupScore {};
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const std::uint64_t score = mix(flow.high ^ mix(hosts[index].value));
        if (!ranks.owner || score > ownerScore) {
            ranks.backup = ranks.owner;
            backupScore = ownerScore;
            ranks.owner = index;
            ownerScore = score;
        } else if (!ranks.backup || score > backupScore) {
            ranks.backup = index;
            backupScore = score;
        }
    }
    return ranks;
}

} // namespace shallotcove::core
