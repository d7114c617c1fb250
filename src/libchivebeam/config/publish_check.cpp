#include "config/publish_check.h"

#include <algorithm>

#include "base/object_reader.h"

namespace chivebeam {

namespace {

const move_rule *findMove(const snapshot &Config, const move_id &Id) {
  for (const move_rule &Move : Config.moves())
    if (Move.Id == Id)
      return &Move;
  return nullptr;
}

bool isSameMove(const move_rule &Left, const move_rule &Right) {
  return Left.Service == Right.Service && Left.From == Right.From &&
         Left.To == Right.To && Left.Start == Right.Start &&
         Left.Deadline == Right.Deadline;
}

error makeError(const move_id &Id, std::string Message, std::string Remedy) {
  return {error_kind::conflict, "rules:/moves \"" + Id.str() + "\"",
          std::move(Message), std::move(Remedy)};
}

/// Checks a finished move that the new rules no longer contain. Without the
/// move, traffic follows the register, so the register must name the version
/// that the move ended with.
void checkFinishedMove(const move_rule &Move, move_verdict Verdict,
                       const snapshot &New, error_list &Errors) {
  const service_entry *Service = New.findService(Move.Service);
  if (!Service || New.findMoveOf(Move.Service))
    return;
  bool Done = Verdict == move_verdict::done;
  const version_name &AbandonedVersion = Done ? Move.From : Move.To;
  const version_name &KeptVersion = Done ? Move.To : Move.From;
  if (Service->Version == AbandonedVersion)
    Errors.push_back(
        makeError(Move.Id,
                  "the move is " + std::string(Done ? "done" : "taken back") +
                      ", but without it the register sends all traffic of \"" +
                      Move.Service.str() + "\" to version \"" +
                      AbandonedVersion.str() + "\"",
                  "set the service's \"version\" in the register to \"" +
                      KeptVersion.str() + "\""));
}

/// Checks that a move without a verdict is kept, and unchanged if it has
/// started.
void checkUnfinishedMove(const move_rule &Move, const move_rule *Next,
                         instant Now, error_list &Errors) {
  if (!Next) {
    Errors.push_back(makeError(Move.Id,
                               "has no verdict yet and would be dropped",
                               "keep it until chivebeam moves shows a verdict, "
                               "or publish with --drop-moves"));
    return;
  }
  if (Move.Start <= Now && !isSameMove(Move, *Next))
    Errors.push_back(makeError(
        Move.Id, "has started and would be changed",
        "keep it unchanged until it has a verdict, then add a move with a "
        "new id, or publish with --drop-moves"));
}

} // namespace

error_list findMoveConflicts(const snapshot &Old, const snapshot &New,
                             const verdict_map &Verdicts, instant Now) {
  error_list Errors;
  for (const move_rule &Move : Old.moves()) {
    const move_rule *Next = findMove(New, Move.Id);
    auto Verdict = Verdicts.find(Move.Id);
    if (Verdict == Verdicts.end())
      checkUnfinishedMove(Move, Next, Now, Errors);
    else if (!Next)
      checkFinishedMove(Move, Verdict->second, New, Errors);
  }
  for (const move_rule &Move : New.moves()) {
    const move_rule *Before = findMove(Old, Move.Id);
    if (Verdicts.contains(Move.Id) && (!Before || !isSameMove(*Before, Move)))
      Errors.push_back(makeError(Move.Id,
                                 "a move with this id already has a verdict",
                                 "give the new move a new id"));
  }
  return Errors;
}

bool hasRouteTo(const snapshot &Config, const service_name &Service) {
  return std::any_of(Config.routes().begin(), Config.routes().end(),
                     [&](const route_rule &Rule) {
                       return Rule.Split.empty()
                                  ? Rule.Service == Service
                                  : std::any_of(
                                        Rule.Split.begin(), Rule.Split.end(),
                                        [&](const weighted_service &Part) {
                                          return Part.Service == Service;
                                        });
                     });
}

error_list findWarnings(const snapshot &Config) {
  error_list Warnings;
  for (const auto &[Name, Service] : Config.services()) {
    if (!hasRouteTo(Config, Name))
      Warnings.push_back({error_kind::not_found,
                          "register:/services \"" + Name.str() + "\"",
                          "no route leads to this service",
                          "add a route to the rules if callers need it"});
  }
  for (const route_rule &Rule : Config.routes()) {
    const service_entry *Service = Config.findService(Rule.Service);
    if (Rule.Idempotent && Service && Service->Class == work_class::payment)
      Warnings.push_back({error_kind::conflict,
                          "rules:/routes \"" + Rule.Name.str() + "\"",
                          "calls of a payment service are marked idempotent, "
                          "so they may be sent twice",
                          "leave \"idempotent\" out unless the route only "
                          "reads"});
  }
  return Warnings;
}

} // namespace chivebeam
