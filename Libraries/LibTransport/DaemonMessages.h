#pragma once

#include "LibCoordination/RelayKnowledge.h"
#include "LibCoordination/RevisionDecision.h"
#include "LibCoordination/VmListChange.h"
#include "LibState/Configuration.h"
#include "LibState/VmList.h"

#include <caf/all.hpp>

#include <memory>
#include <optional>
#include <string>

/// The messages between the tasks (CAF actors) of one daemon.
namespace Papaya {

/// Sent periodically by TimerTask to its subscribers.
struct Tick {
};

/// Requests a Tick from TimerTask at once and after each `interval`.
struct SubscribeToTicks {
    caf::actor subscriber;
    Duration interval;
};

/// Subscribes to ControlStateTask: the subscriber receives the configuration and the VM list in force, and each later change.
struct SubscribeToControlState {
    caf::actor subscriber;
};

/// A configuration text received from the platform or a peer, which ControlStateTask may put in force.
struct OfferConfiguration {
    RevisionedText text;
    RevisionSource source = RevisionSource::Platform;
};

/// A VM list received from the platform or a peer, which ControlStateTask may put in force.
struct OfferVmList {
    std::string text;
    RevisionSource source = RevisionSource::Platform;
};

/// An incremental change of the VM list received from a peer.
struct OfferVmListChange {
    VmListChange change;
};

/// The configuration revision that a peer reported in its digest.
struct PeerRevisionReported {
    std::uint64_t revision = 0;
};

/// Sent by ControlStateTask when a configuration comes into force. Holds the parsed configuration and its text.
struct ConfigurationInForce {
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const RevisionedText> text;
};

/// Sent by ControlStateTask when a VM list comes into force. Holds the parsed list and its text.
struct VmListInForce {
    std::shared_ptr<const VmList> list;
    std::shared_ptr<const std::string> text;
};

/// Requests the state of a daemon from its main task. The response is a StatusReport.
struct StatusRequest {
};

/// The state of a daemon as its HTTP endpoints present it.
struct StatusReport {
    bool isReady = false;
    /// The body of /status.
    std::string statusJson;
    /// The body of /metrics, in the Prometheus text format.
    std::string metricsText;
};

/// Requests the routes and targets from the main task of a relaying entry daemon. The response is a KnowledgeReport.
struct KnowledgeRequest {
    /// The digest of the routes and targets that the asking daemon has; nothing if it has none.
    std::optional<KnowledgeDigest> digest;
};

/// The routes and targets of a relaying entry daemon, as served at /knowledge.
struct KnowledgeReport {
    /// The encoded FlatBuffers table. Empty while the daemon lacks the routes or the targets.
    std::string bytes;
};

/// Requests from a daemon's main task how it would route a flow. The response is an ExplainReport. The state of the daemon does not
/// change.
struct ExplainRequest {
    std::string flow;
};

/// The explanation of how a daemon would route a flow, as JSON.
struct ExplainReport {
    std::string json;
};

/// Requests a graceful stop of a task: open flows are not broken.
struct Stop {
};

/// Sent by the main task to the actor of the main program (see runDaemon()) when the graceful stop of the task is complete.
struct Stopped {
};

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::SubscribeToTicks)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::SubscribeToControlState)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::OfferConfiguration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::OfferVmList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::OfferVmListChange)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PeerRevisionReported)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::ConfigurationInForce)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::VmListInForce)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::StatusRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::StatusReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::KnowledgeRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::KnowledgeReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::ExplainRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::ExplainReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::Stop)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::Stopped)
