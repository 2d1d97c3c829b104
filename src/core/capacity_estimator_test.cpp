#include <shallotcove/core/capacity_estimator.hpp>

#include <cmath>
#include <functional>
#include <vector>

#include <criterion/criterion.h>
#include <pcg_random.hpp>

namespace core = shallotcove::core;

namespace {

constexpr core::service_id service { 7 };
constexpr std::size_t hostCount = 9;
constexpr std::uint32_t flowsPerWeight = 1;
/// Simulated time of each test, long enough for several corrections.
constexpr std::uint32_t runSeconds = 300;

std::shared_ptr<core::service_config> serviceWithWeights(const std::vector<std::uint32_t>& weights)
{
    const std::shared_ptr<core::service_config> config = std::make_shared<core::service_config>();
    config->id = service;
    core::epoch_plan plan { { 1 }, core::epoch_phase::Active, {} };
    for (std::uint32_t id = 1; id <= weights.size(); ++id) {
        core::backend_server server;
        server.id = { id };
        server.weight = weights[id - 1];
        config->servers.push_back(server);
        plan.servers.push_back({ { id }, server.weight });
    }
    config->epochs.push_back(plan);
    return config;
}

/// Simulates a service: open flows follow the capacity factors with a lag, because a flow lasts 10 s.
/// lifetimes are relative to those 10 s, one for each server.
class load_model {
public:
    load_model(const std::vector<std::uint32_t>& weights, std::vector<double> lifetimes)
        : config(serviceWithWeights(weights))
        , m_lifetimes(std::move(lifetimes))
    {
        for (std::size_t index = 0; index < weights.size(); ++index)
            m_open.push_back(weights[index] * flowsPerWeight * m_lifetimes[index]);
    }

    /// Advances by one second and passes the load report of each host to deliver.
    void step(const std::function<void(std::size_t host, core::load_report&)>& deliver)
    {
        now = now + std::chrono::seconds { 1 };
        factors = estimator.update({ { config }, limited, now });
        double sum = 0;
        double weights = 0;
        for (std::size_t index = 0; index < m_open.size(); ++index) {
            sum += weightOf(index);
            weights += config->servers[index].weight;
        }
        core::load_report report { ++m_sequence, {} };
        for (std::size_t index = 0; index < m_open.size(); ++index) {
            const double arrivals = weightOf(index) / sum * weights * flowsPerWeight / 10;
            m_open[index] += arrivals - m_open[index] / (10 * m_lifetimes[index]);
            const std::uint32_t reportedFlows = std::uint32_t(std::lround(m_open[index] * noise()));
            report.servers.push_back({ service, { std::uint32_t(index + 1) },
                std::uint32_t(std::lround(arrivals)), 0, reportedFlows });
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            core::load_report copy = report;
            // Only one host counts a flow as new.
            for (core::server_load& load : copy.servers)
                load.newFlows = host == 0 ? load.newFlows : 0;
            deliver(host, copy);
        }
    }
    void send(std::size_t host, const core::load_report& report)
    {
        estimator.addReport({ host + 1 }, report, now);
    }
    double imbalance() const
    {
        double largest = 0;
        double sum = 0;
        for (std::size_t index = 0; index < m_open.size(); ++index) {
            const double load = m_open[index] / config->servers[index].weight;
            largest = std::max(largest, load);
            sum += load;
        }
        return largest / (sum / double(m_open.size()));
    }

    std::shared_ptr<core::service_config> config;
    core::capacity_estimator estimator = core::capacity_estimator::create({});
    core::capacity_estimator::capacity_factors factors;
    std::set<core::capacity_estimator::server_key> limited;
    core::timestamp now { std::chrono::seconds { 100 } };
    double noiseShare {};

private:
    double weightOf(std::size_t index) const
    {
        const core::backend_server& server = config->servers[index];
        if (server.state != core::server_state::Active)
            return 0;
        const auto factor = factors.find({ service, server.id });
        return server.weight * (factor == factors.end() ? 1 : factor->second);
    }
    double noise() { return 1 + noiseShare * (double(m_random(2001)) / 1000 - 1); }

    std::vector<double> m_lifetimes;
    std::vector<double> m_open;
    std::uint64_t m_sequence {};
    pcg32 m_random { 4 };
};

} // namespace

// The most loaded server must stay within 1.10 of the mean load, the stated target, during the last minute.
// Guards against feedback that leaves a lasting deviation or overshoots, also with wrong, missing, late or
// repeated reports.
Test(capacity_estimator, corrects_uneven_load)
{
    using delivery = void (*)(load_model&, std::size_t host, core::load_report&);
    struct test_case {
        const char* name;
        std::vector<std::uint32_t> weights;
        std::vector<double> lifetimes;
        delivery deliver;
    };
    const std::vector<std::uint32_t> four { 500, 700, 300, 500 };
    const delivery unmodified
        = [](load_model& model, std::size_t host, core::load_report& report) { model.send(host, report); };
    const delivery wrongCounts = [](load_model& model, std::size_t host, core::load_report& report) {
        if (host == 3) {
            for (core::server_load& load : report.servers)
                load.activeFlows = load.server.value == 1 ? 4'000'000'000 : 0;
        }
        model.send(host, report);
    };
    const delivery missing = [](load_model& model, std::size_t host, core::load_report& report) {
        if ((report.sequence + host) % 4 == 0 && host < 6)
            model.send(host, report);
    };
    const delivery repeated = [](load_model& model, std::size_t host, core::load_report& report) {
        for (int copy = 0; copy < 5; ++copy)
            model.send(host, report);
    };
    const std::vector<test_case> cases {
        { "slow server of 4", four, { 1, 2, 1, 1 }, unmodified },
        { "fast server of 4", four, { 1, 1, 0.6, 1 }, unmodified },
        { "slow server of 14", std::vector<std::uint32_t>(14, 150),
            { 1, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1 }, unmodified },
        { "one host with wrong counts", four, { 1, 2, 1, 1 }, wrongCounts },
        { "missing and late reports", four, { 1, 2, 1, 1 }, missing },
        { "repeated reports", four, { 1, 2, 1, 1 }, repeated },
    };
    for (const test_case& each : cases) {
        load_model model(each.weights, each.lifetimes);
        cr_assert(model.imbalance() > 1.10, "%s: initial imbalance %f is too small to test", each.name,
            model.imbalance());
        for (std::uint32_t second = 0; second < runSeconds; ++second) {
            model.step(
                [&](std::size_t host, core::load_report& report) { each.deliver(model, host, report); });
            if (second > runSeconds - 60)
                cr_assert(model.imbalance() <= 1.10, "%s: imbalance %f", each.name, model.imbalance());
        }
    }
}

// Guards against corrections, and so new epochs, caused by random variation or by one host with wrong counts.
Test(capacity_estimator, does_not_correct_even_load)
{
    struct test_case {
        const char* name;
        double noiseShare;
        std::uint32_t smallestWeight;
        bool hasWrongHost;
    };
    const std::vector<test_case> cases {
        { "exact counts", 0, 300, false },
        { "counts off by up to 15%", 0.15, 300, false },
        { "one host with wrong counts", 0, 300, true },
        { "too few flows", 0.5, 5, false },
    };
    for (const test_case& each : cases) {
        const std::uint32_t weight = each.smallestWeight;
        load_model model({ weight, 2 * weight, weight, 2 * weight }, { 1, 1, 1, 1 });
        model.noiseShare = each.noiseShare;
        for (std::uint32_t second = 0; second < runSeconds; ++second) {
            model.step([&](std::size_t host, core::load_report& report) {
                if (each.hasWrongHost && host == 5)
                    report.servers[1].activeFlows = UINT32_MAX;
                model.send(host, report);
            });
            cr_assert(model.factors.empty(), "%s: weights corrected after %u s although the load is even",
                each.name, second);
        }
    }
}

// Guards against counting a repeated report twice, which would make random variation look like a deviation,
// and against ignoring a restarted host for good because its report sequence begins at 1 again.
Test(capacity_estimator, counts_each_report_once)
{
    load_model once({ 500, 700, 300 }, { 1, 1.4, 1 });
    load_model twice({ 500, 700, 300 }, { 1, 1.4, 1 });
    for (std::uint32_t second = 0; second < runSeconds; ++second) {
        once.step([&](std::size_t host, core::load_report& report) { once.send(host, report); });
        core::load_report old;
        twice.step([&](std::size_t host, core::load_report& report) {
            twice.send(host, report);
            old = report;
            old.sequence = report.sequence / 2;
            twice.send(host, old);
            twice.send(host, report);
        });
        cr_assert(once.factors == twice.factors, "repeated reports change the factors in second %u", second);
    }
    cr_assert(!once.factors.empty());

    load_model restarted({ 500, 700, 300 }, { 1, 2, 1 });
    for (std::uint32_t second = 0; second < runSeconds; ++second) {
        restarted.step([&](std::size_t host, core::load_report& report) {
            report.sequence = second == 0 ? 1'000'000 : report.sequence;
            restarted.send(host, report);
        });
    }
    cr_assert(restarted.imbalance() <= 1.10, "imbalance %f", restarted.imbalance());
}

// Guards against factors that change while no host reports.
Test(capacity_estimator, keeps_factors_without_reports)
{
    load_model model({ 500, 700, 300 }, { 1, 2, 1 });
    const auto send = [&](std::size_t host, core::load_report& report) { model.send(host, report); };
    for (std::uint32_t second = 0; second < runSeconds; ++second)
        model.step(send);
    const core::capacity_estimator::capacity_factors estimated = model.factors;
    cr_assert(!estimated.empty());
    for (std::uint32_t second = 0; second < runSeconds; ++second)
        model.step([](std::size_t, core::load_report&) {});
    cr_assert(model.factors == estimated);
}

// Guards against a raised factor for a server that has few open flows because it fails, is limited, drains or
// is removed.
Test(capacity_estimator, does_not_raise_factor_of_unavailable_server)
{
    enum class reason : std::uint8_t { Failing, Limited, Draining, Removed };
    for (const reason each : { reason::Failing, reason::Limited, reason::Draining, reason::Removed }) {
        load_model model({ 500, 700, 300, 500 }, { 1, 1, 0.2, 1 });
        core::backend_server& server = model.config->servers[2];
        if (each == reason::Limited)
            model.limited.insert({ service, server.id });
        if (each == reason::Draining || each == reason::Removed) {
            server.state
                = each == reason::Draining ? core::server_state::Draining : core::server_state::Removed;
            std::erase_if(model.config->epochs.back().servers,
                [](const core::weighted_server& placed) { return placed.server.value == 3; });
        }
        for (std::uint32_t second = 0; second < runSeconds; ++second) {
            model.step([&](std::size_t host, core::load_report& report) {
                if (each == reason::Failing)
                    report.servers[2].badFlows = report.servers[2].newFlows;
                model.send(host, report);
            });
            const auto factor = model.factors.find({ service, { 3 } });
            cr_assert(factor == model.factors.end() || factor->second <= 1, "reason %d, second %u: %f",
                static_cast<int>(each), second, factor->second);
            if (each != reason::Failing)
                cr_assert(model.factors.empty(), "reason %d, second %u", static_cast<int>(each), second);
        }
    }
}
