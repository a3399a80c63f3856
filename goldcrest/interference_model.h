#pragma once

// Learns which tasks slow each other down on the same worker. Tasks with the same image behave
// alike, so the slowdown is learned per ordered pair of images. It does no I/O.
//
//   interference_model model;
//   model.observe(samples);                       // the tasks of one step, at one time
//   for (const interfering_pair &pair : model.takeFound()) ...       // for the log
//   for (const interfering_pair &pair : model.interfering()) ...     // for placement
//
// The tasks of a step beside an image are compared with its other tasks, which are the control. The
// logarithm of the ratio of their median speeds is averaged per pair, with a prior that there is no
// slowdown. Medians and a limit bound the effect of single tasks that are slow by themselves. A
// worker that is slow by itself would look like interference, so several workers must show it.

#include <gsl/span>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace goldcrest {

// Progress of one task over a time in which its neighbours did not change.
struct interference_sample
{
    std::string worker;
    double speed = 0; // in any unit, as long as it is the same for the step
    std::set<std::string> neighbours; // images of the other tasks on the worker
};

// Tasks of `image` take `slowdown` times as long beside tasks of `neighbour`.
struct interfering_pair
{
    std::string image;
    std::string neighbour;
    double slowdown = 1;
    double weight = 0; // of the observations
};

// Observations of an ordered pair of images, as kept for the next planner (learned_state.h).
struct learned_pair
{
    static constexpr std::size_t groups = 4; // of workers, by the hash of their names

    std::string image;
    std::string neighbour;
    std::array<double, groups> weights{}; // numbers of observations, after forgetting
    std::array<double, groups> sums{}; // of the logarithms of the slowdowns
};

class interference_model
{
public:
    // Pairs beyond this number are not kept: those without observations for the longest time are
    // forgotten.
    static constexpr std::size_t maxPairs = 512;

    // Handles samples of tasks of one step, taken at the same time. Tasks with an unusable speed
    // are ignored.
    // @param image of the step
    void observe(const std::string &image, const std::vector<interference_sample> &samples);

    // Returns the expected factor on the run time of a task of `image` beside one of `neighbour`.
    // It is 1 without observations.
    double slowdown(const std::string &image, const std::string &neighbour) const;

    // Returns the pairs that are taken for interfering, in order of their names.
    std::vector<interfering_pair> interfering() const;

    // Returns the number of the last change of interfering(), so that results can be kept.
    std::uint64_t version() const { return m_version; }

    // Returns the pairs that were taken for interfering for the first time since the last call.
    std::vector<interfering_pair> takeFound();

    // Returns the observations of all pairs, in order of their names.
    std::vector<learned_pair> save() const;

    // Adds observations of an earlier planner to those made since, while there are fewer than
    // maxPairs.
    void restore(gsl::span<const learned_pair> pairs);

    std::size_t pairCount() const { return m_pairs.size(); }

private:
    using pair_key = std::pair<std::string, std::string>; // image, neighbour

    // Sums over the observations on some of the workers.
    struct evidence
    {
        double weight = 0;
        double sum = 0; // of the logarithms of the slowdowns
    };
    static constexpr std::size_t groups = learned_pair::groups;

    struct pair_state
    {
        std::array<evidence, groups> byWorkers;
        std::uint64_t usedAt = 0;
        bool isInterfering = false;
        bool wasFound = false;
    };

    static double weightOf(const pair_state &pair);
    static double logSlowdownOf(const pair_state &pair);
    static bool isShownBySeveral(const pair_state &pair);
    double knownLogSlowdown(const std::string &image, const std::string &neighbour) const;
    void compare(const std::string &image, const std::string &neighbour,
                 const std::vector<interference_sample> &samples);
    void judge(const pair_key &key, pair_state &pair);
    void evictOldest();

    std::map<pair_key, pair_state> m_pairs;
    std::vector<interfering_pair> m_found;
    std::uint64_t m_observations = 0;
    std::uint64_t m_version = 0;
};

} // namespace goldcrest
