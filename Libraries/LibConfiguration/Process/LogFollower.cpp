#include <LibBase/Verify.h>
#include <LibConfiguration/Process/LogFollower.h>

namespace Configuration {

using Store::Status;

namespace {

    /// A version that no key ever has. A compare-and-swap with it always fails and returns the key's current version
    /// and value.
    constexpr Store::KeyVersion unattainableVersion = ~Store::KeyVersion { 0 };

}

Store::Request LogFollower::begin(bool confirmEnd)
{
    state_ = State::Running;
    confirmsEnd_ = confirmEnd;
    hasReloaded_ = false;
    failure_.clear();
    return isLoaded() ? readNextChange() : readManifest();
}

Store::Request LogFollower::readManifest()
{
    step_ = Step::Manifest;
    return Store::Get { snapshotManifestKey() };
}

Store::Request LogFollower::readNextChange()
{
    step_ = Step::Change;
    auto key = changeKey({ snapshot_->revision.value + 1 });
    if (confirmsEnd_)
        return Store::CompareAndSwap { .key = std::move(key), .expected = unattainableVersion, .value = {} };
    return Store::Get { std::move(key) };
}

std::optional<Store::Request> LogFollower::finish(State state, std::string failure)
{
    state_ = state;
    failure_ = std::move(failure);
    return std::nullopt;
}

std::optional<Store::Request> LogFollower::handleAnswer(const Store::Answer& answer)
{
    if (answer.status == Status::Unknown || answer.status == Status::Unavailable)
        return finish(State::NoResponse);
    switch (step_) {
    case Step::Manifest:
        return handleManifest(answer);
    case Step::Part:
        return handlePart(answer);
    case Step::Change:
        return handleChange(answer);
    }
    return finish(State::Failed, "unexpected answer");
}

std::optional<Store::Request> LogFollower::handleManifest(const Store::Answer& answer)
{
    if (answer.status == Status::NotFound) {
        if (isLoaded())
            return finish(State::Failed, "the manifest is gone");
        snapshot_ = std::make_shared<Snapshot>();
        return readNextChange();
    }
    auto manifest = Base::capture([&] { return decodeManifest(answer.value); });
    if (!manifest.isOk())
        return finish(State::Failed, "manifest: " + manifest.error.detail);
    manifest_ = *manifest.value;
    if (isLoaded() && manifest_.revision <= snapshot_->revision)
        return finish(State::Failed, "the store shows a manifest older than the changes it has folded");
    parts_.clear();
    step_ = Step::Part;
    return Store::Get { snapshotPartKey(manifest_.revision, 0) };
}

std::optional<Store::Request> LogFollower::handlePart(const Store::Answer& answer)
{
    if (answer.status != Status::Ok)
        return reloadOrFail("snapshot part missing");
    parts_.push_back(answer.value);
    if (parts_.size() < manifest_.partCount)
        return Store::Get { snapshotPartKey(manifest_.revision, static_cast<uint32_t>(parts_.size())) };
    auto snapshot = Base::capture([&] { return decodeSnapshot(parts_); });
    parts_.clear();
    if (!snapshot.isOk() || snapshot.value->revision != manifest_.revision)
        return finish(State::Failed, "snapshot: " + snapshot.error.detail);
    snapshot_ = std::make_shared<Snapshot>(std::move(*snapshot.value));
    return readNextChange();
}

std::optional<Store::Request> LogFollower::handleChange(const Store::Answer& answer)
{
    if (answer.version == 0)
        return finish(State::CaughtUp);
    if (answer.value == compactedChangeMarker())
        return reloadOrFail("change folded");
    if (const auto error = Base::captureError([&] { return applyNextChange(answer.value); }))
        return finish(State::Failed,
            changeKey({ snapshot_->revision.value + 1 }) + ": " + std::string(Base::toString(error->code)) + " "
                + error->detail);
    return readNextChange();
}

std::optional<Store::Request> LogFollower::reloadOrFail(const std::string& reason)
{
    if (hasReloaded_)
        return finish(State::Failed, reason);
    hasReloaded_ = true;
    return readManifest();
}

Base::ErrorOr<void> LogFollower::applyNextChange(std::string_view changeBytes)
{
    VERIFY(isLoaded());
    TRY_ASSIGN(change, decodeChange(changeBytes));
    // Other holders must not see the snapshot change, so a shared one is copied first.
    if (snapshot_.use_count() > 1)
        snapshot_ = std::make_shared<Snapshot>(*snapshot_);
    return applyTo(*snapshot_, change);
}

}
