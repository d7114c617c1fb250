#pragma once

#include <map>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "base/object_reader.h"
#include "config/config_holder.h"
#include "config/join_barrier.h"
#include "membership/member_table.h"
#include "moves/move_coordinator.h"
#include "routing/admission.h"
#include "routing/version_splitter.h"
#include "routing/worker_picker.h"
#include "sessions/session_traffic.h"

namespace chivebeam {

/// Plays a session: lines of JSON that describe the inputs of one node and
/// their times. Each input is passed to the same code that decides in a running
/// node, and the decisions are written after the input line. The first line,
/// "start", names the node. A session contains both input lines and decisions;
/// playing it again must give the same text. Not thread safe.
class session_player {
public:
  explicit session_player(const move_decider &Decider);

  /// Returns the input lines and comments of Text with the decisions after each
  /// input line, or the errors of the first line that can't be read.
  checked<std::string> play(std::string_view Text);

private:
  void playLine(const boost::json::value &Line);
  void dispatch(std::string_view Kind, object_reader &Reader);
  void start(object_reader &Reader);
  void storeAnswered(object_reader &Reader);
  void peerHead(object_reader &Reader);
  void publish(object_reader &Reader);
  void member(object_reader &Reader);
  void call(object_reader &Reader);
  void callEnded(object_reader &Reader);
  void arrive(object_reader &Reader);
  void release(object_reader &Reader);
  void traffic(object_reader &Reader);
  void distributeCalls(const service_name &Service, const route_name &Route,
                       double Calls, const session_behaviour &Old,
                       const session_behaviour &New);
  void recordCalls(const node_id &Node, const route_name &Route, double Calls,
                   const session_behaviour &Behaviour);
  void takeBack(object_reader &Reader);
  void verdictRecorded(object_reader &Reader);
  void tickMoves();
  void offerMove(const move_progress &Progress);
  void checkReady();
  void refreshView();
  void write(const std::string &Decision);

  const move_decider &Decider;
  std::string Output;
  error_list Errors;
  instant Epoch;
  instant Now;
  node_id Self;
  failure_domain LocalDomain;
  bool Serving = false;
  config_holder Config;
  join_barrier Barrier;
  member_table Members;
  std::map<move_id, move_progress> Moves;
  std::map<move_id, std::string> RequestedVerdicts;
  fleet_view_ptr View;
  version_splitter Splitter;
  std::unique_ptr<worker_picker> Picker;
  std::unique_ptr<move_coordinator> Coordinator;
  admission Admission;
  std::map<std::string, endpoint> OpenCalls;
  std::map<node_id, session_call_counter> Counters;
};

/// True if Text is a session: its first line that is not a comment has the kind
/// "start".
bool isSession(std::string_view Text);

} // namespace chivebeam
