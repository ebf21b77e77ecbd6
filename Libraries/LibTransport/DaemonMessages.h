#pragma once

#include "LibCoordination/RevisionDecision.h"
#include "LibCoordination/VmListChange.h"
#include "LibState/Configuration.h"
#include "LibState/VmList.h"

#include <caf/all.hpp>

#include <memory>
#include <string>

/// The messages that the tasks of one daemon send one another.
namespace Papaya {

/// Sent by the timer service to its subscribers.
struct Tick {
};

/// Asks the timer service for a Tick in every interval.
struct SubscribeToTicks {
    caf::actor subscriber;
    Duration interval;
};

/// Asks the knowledge task for every text and list in force, now and from now on.
struct SubscribeToControlState {
    caf::actor subscriber;
};

/// A configuration text that the platform or a peer offers.
struct OfferConfiguration {
    RevisionedText text;
    RevisionSource source = RevisionSource::Platform;
};

/// A VM list that the platform or a peer offers.
struct OfferVmList {
    std::string text;
    RevisionSource source = RevisionSource::Platform;
};

/// A change of the VM list that a peer offers.
struct OfferVmListChange {
    VmListChange change;
};

/// A peer said which revision it has in force.
struct PeerRevisionReported {
    std::uint64_t revision = 0;
};

/// A configuration is in force from now on.
struct ConfigurationInForce {
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const RevisionedText> text;
};

/// A VM list is in force from now on.
struct VmListInForce {
    std::shared_ptr<const VmList> list;
    std::shared_ptr<const std::string> text;
};

/// Asks a daemon's main task for its state; answered with StatusReport.
struct StatusRequest {
};

/// The state of a daemon as its operators see it.
struct StatusReport {
    bool isReady = false;
    std::string statusJson;
    std::string metricsText;
};

/// Asks a relaying entry daemon's main task for what it can tell others; answered with KnowledgeReport.
struct KnowledgeRequest {
};

/// The routes and targets that a daemon knows, encoded; empty while it knows too little.
struct KnowledgeReport {
    std::string bytes;
};

/// Asks a daemon's main task how it would treat a flow; answered with ExplainReport. Nothing is changed.
struct ExplainRequest {
    std::string flow;
};

/// How a daemon would treat a flow, as JSON.
struct ExplainReport {
    std::string json;
};

/// Asks a task to stop without cutting anything.
struct Stop {
};

/// Tells the program that its main task has nothing left to do.
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
