#include <shallotcove/daemon/metrics.hpp>

#include <exception>
#include <map>

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace shallotcove::daemon {

namespace {

    // From 1 microsecond to 10 seconds.
    const prometheus::Histogram::BucketBoundaries secondsBuckets { 1e-6, 2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4,
        2e-4, 5e-4, 1e-3, 2e-3, 5e-3, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };
    const prometheus::Histogram::BucketBoundaries countBuckets { 0, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000,
        2000, 5000 };

    const prometheus::Histogram::BucketBoundaries& bucketsOf(metric id)
    {
        return id == metric::ClassNewFlows ? countBuckets : secondsBuckets;
    }

    prometheus::Labels labelsOf(metric id, const metrics::label_values& values)
    {
        prometheus::Labels labels;
        const metric_definition& row = definitionOf(id);
        for (std::size_t i = 0; i < row.labels.size() && i < values.size(); ++i) {
            if (!row.labels[i].empty())
                labels.emplace(row.labels[i], values[i]);
        }
        return labels;
    }

    template <typename Kind> using family_map = std::map<metric, prometheus::Family<Kind>*>;

} // namespace

class metrics::implementation {
public:
    implementation()
        : m_registry(std::make_shared<prometheus::Registry>())
    {
        for (const metric_definition& row : metricTable)
            build(row);
    }

    void serve(const core::socket_address& address)
    {
        // One thread is enough for a scraper or two, and keeps the memory of a host small.
        m_exposer = std::make_unique<prometheus::Exposer>(address.toString(), 1);
        m_address = address;
        m_exposer->RegisterCollectable(m_registry);
        const std::vector<int> ports = m_exposer->GetListeningPorts();
        if (!ports.empty())
            m_address.port = static_cast<std::uint16_t>(ports.front());
    }

    std::string text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

    prometheus::Counter* counter(metric id, const label_values& values)
    {
        const auto found = m_counters.find(id);
        return found == m_counters.end() ? nullptr : &found->second->Add(labelsOf(id, values));
    }

    prometheus::Gauge* gauge(metric id, const label_values& values)
    {
        const auto found = m_gauges.find(id);
        return found == m_gauges.end() ? nullptr : &found->second->Add(labelsOf(id, values));
    }

    prometheus::Histogram* histogram(metric id, const label_values& values)
    {
        const auto found = m_histograms.find(id);
        return found == m_histograms.end() ? nullptr
                                           : &found->second->Add(labelsOf(id, values), bucketsOf(id));
    }

    core::socket_address address() const { return m_address; }

private:
    void build(const metric_definition& row)
    {
        const std::string name(row.name);
        const std::string help(row.help);
        if (row.kind == metric_kind::Counter)
            m_counters[row.id] = &prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry);
        else if (row.kind == metric_kind::Gauge)
            m_gauges[row.id] = &prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry);
        else
            m_histograms[row.id] = &prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry);
    }

    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<prometheus::Exposer> m_exposer;
    core::socket_address m_address;
    family_map<prometheus::Counter> m_counters;
    family_map<prometheus::Gauge> m_gauges;
    family_map<prometheus::Histogram> m_histograms;
};

tl::expected<std::unique_ptr<metrics>, std::string> metrics::create(const core::socket_address& address)
{
    try {
        std::unique_ptr<metrics> served = createUnserved();
        served->m_implementation->serve(address);
        return served;
    } catch (const std::exception& failure) {
        return tl::unexpected("cannot listen on " + address.toString() + ": " + failure.what());
    }
}

std::unique_ptr<metrics> metrics::createUnserved()
{
    return std::unique_ptr<metrics>(new metrics(std::make_unique<implementation>()));
}

std::string metrics::text() const { return m_implementation->text(); }

metrics::metrics(std::unique_ptr<implementation> inner)
    : m_implementation(std::move(inner))
{
}

metrics::~metrics() = default;

void metrics::add(metric id, const label_values& values, double amount)
{
    prometheus::Counter* const counter = m_implementation->counter(id, values);
    if (counter != nullptr)
        counter->Increment(amount);
}

void metrics::raiseTo(metric id, const label_values& values, double total)
{
    prometheus::Counter* const counter = m_implementation->counter(id, values);
    if (counter != nullptr && total > counter->Value())
        counter->Increment(total - counter->Value());
}

void metrics::set(metric id, const label_values& values, double value)
{
    prometheus::Gauge* const gauge = m_implementation->gauge(id, values);
    if (gauge != nullptr)
        gauge->Set(value);
}

void metrics::observe(metric id, const label_values& values, double value)
{
    prometheus::Histogram* const histogram = m_implementation->histogram(id, values);
    if (histogram != nullptr)
        histogram->Observe(value);
}

core::socket_address metrics::address() const { return m_implementation->address(); }

} // namespace shallotcove::daemon
