#include <filbertspoke/Observability>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace filbertspoke {

namespace {

const std::string metricPrefix = "filbertspoke_";

// Upper bounds of the buckets. 0.04 s and 0.59 s are the users' latency objectives for token gaps and first tokens.
const prometheus::Histogram::BucketBoundaries latencyBucketsSeconds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.59, 1, 2, 5, 10 };

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

class Metrics::State {
public:
    State()
        : firstToken(this->histogram("first_token_seconds", "Time from the arrival of a completion request to its first token"))
        , tokenGap(this->histogram("token_gap_seconds", "Time between two consecutive tokens of one completion"))
        , call(this->histogram("call_seconds", "Time from the arrival of a service call to its response"))
        , configuration(this->histogram("configuration_seconds", "Time for which decoding a configuration occupied the daemon"))
        , inProgress(this->gauge("requests_in_progress", "Requests that are queued or running"))
        , queued(this->gauge("requests_queued", "Completions that are queued for admission"))
        , revision(this->gauge("configuration_revision", "Log offset of the configuration in force, -1 without one"))
        , ready(this->gauge("ready", "1 if the daemon accepts requests, otherwise 0"))
        , endpoints(this->gauge("endpoints_available", "Endpoints that accept new requests"))
        , peers(this->gauge("peers_alive", "Other daemons that are alive"))
        , retryBudgetGateways(this->gauge("retry_budget_gateways", "Gateways that share the retry budget, 0 while unknown"))
    {
    }

    prometheus::Histogram& histogram(const std::string& metric, const std::string& help)
    {
        return prometheus::BuildHistogram().Name(metricPrefix + metric).Help(help).Register(this->registry).Add({}, latencyBucketsSeconds);
    }

    prometheus::Gauge& gauge(const std::string& metric, const std::string& help)
    {
        return prometheus::BuildGauge().Name(metricPrefix + metric).Help(help).Register(this->registry).Add({});
    }

    prometheus::Counter& counter(const CountMetric& action)
    {
        auto [entry, added] = this->counters.try_emplace({ action.metric, action.label }, nullptr);
        if (added) {
            auto& family = prometheus::BuildCounter().Name(metricPrefix + action.metric).Help("See docs/OPERATORS.md").Register(this->registry);
            const prometheus::Labels labels = action.label.empty() ? prometheus::Labels {} : prometheus::Labels { { action.labelName, action.label } };
            entry->second = &family.Add(labels);
        }
        return *entry->second;
    }

    prometheus::Gauge& availableRetries(const ServiceId& service)
    {
        auto [entry, added] = this->availableRetriesByService.try_emplace(service, nullptr);
        if (added) {
            auto& family = prometheus::BuildGauge().Name(metricPrefix + "retries_saved").Help("Retries that the retry budget allows now").Register(this->registry);
            entry->second = &family.Add({ { "service", service.str() } });
        }
        return *entry->second;
    }

    prometheus::Registry registry;
    std::map<ServiceId, prometheus::Gauge*> availableRetriesByService;
    std::map<std::pair<std::string, std::string>, prometheus::Counter*> counters;
    prometheus::Histogram& firstToken;
    prometheus::Histogram& tokenGap;
    prometheus::Histogram& call;
    prometheus::Histogram& configuration;
    prometheus::Gauge& inProgress;
    prometheus::Gauge& queued;
    prometheus::Gauge& revision;
    prometheus::Gauge& ready;
    prometheus::Gauge& endpoints;
    prometheus::Gauge& peers;
    prometheus::Gauge& retryBudgetGateways;
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const CountMetric& action)
{
    this->state->counter(action).Increment();
}

void Metrics::observeFirstToken(Duration duration)
{
    this->state->firstToken.Observe(seconds(duration));
}

void Metrics::observeTokenGap(Duration duration)
{
    this->state->tokenGap.Observe(seconds(duration));
}

void Metrics::observeCall(Duration duration)
{
    this->state->call.Observe(seconds(duration));
}

void Metrics::observeConfiguration(Duration duration)
{
    this->state->configuration.Observe(seconds(duration));
}

void Metrics::observeRetryBudget(const ServiceId& service, double available, std::size_t gateways)
{
    this->state->availableRetries(service).Set(available);
    this->state->retryBudgetGateways.Set(static_cast<double>(gateways));
}

void Metrics::update(const RouterStatus& status)
{
    double available = 0;
    for (const EndpointStatus& endpoint : status.endpoints)
        available += endpoint.takesNewWork ? 1 : 0;
    double alive = 0;
    for (const PeerView& peer : status.peers)
        alive += peer.state == "alive" ? 1 : 0;
    this->state->inProgress.Set(status.requestsInProgress);
    this->state->queued.Set(status.requestsQueued);
    this->state->revision.Set(status.configurationRevision ? static_cast<double>(*status.configurationRevision) : -1);
    this->state->ready.Set(status.ready ? 1 : 0);
    this->state->endpoints.Set(available);
    this->state->peers.Set(alive);
}

std::string Metrics::page() const
{
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

}
