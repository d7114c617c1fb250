#include "mesh/outgoing_queue.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Frames that are passed to one write call.
constexpr std::size_t MaxFramesPerWrite = 16;

} // namespace

void outgoing_queue::addFrame(std::string Head, shared_body Body) {
  FrameBytes += Head.size() + (Body ? Body->size() : 0);
  Frames.push_back(
      {std::make_shared<const std::string>(std::move(Head)), std::move(Body)});
}

void outgoing_queue::addBody(std::uint64_t Call, shared_body Body,
                             sent_handler OnLastPart) {
  Bodies.push_back({Call, std::move(Body), 0, std::move(OnLastPart)});
}

void outgoing_queue::removeBody(std::uint64_t Call) {
  std::erase_if(Bodies,
                [&](const outgoing_body &Item) { return Item.Call == Call; });
}

outgoing_batch outgoing_queue::takeBatch(instant Now) {
  outgoing_batch Batch;
  for (std::size_t Taken = 0; !Frames.empty() && Taken < MaxFramesPerWrite;
       ++Taken) {
    outgoing_frame Frame = std::move(Frames.front());
    Frames.pop_front();
    for (shared_body &Bytes : {std::ref(Frame.Head), std::ref(Frame.Body)})
      if (Bytes && !Bytes->empty()) {
        FrameBytes -= Bytes->size();
        Batch.add(Bytes, *Bytes);
      }
  }
  if (!Bodies.empty())
    takePart(Batch, Now);
  return Batch;
}

void outgoing_queue::takePart(outgoing_batch &Batch, instant Now) {
  outgoing_body Item = std::move(Bodies.front());
  Bodies.pop_front();
  std::size_t Size = std::min(MaxPartBytes, Item.Body->size() - Item.Sent);
  peer_frame Part;
  Part.Kind = frame_kind::body_part;
  Part.Call = Item.Call;
  auto Head =
      std::make_shared<const std::string>(encodeFrameHead(Part, Size, Now));
  Batch.add(Head, *Head);
  Batch.add(Item.Body, std::string_view(*Item.Body).substr(Item.Sent, Size));
  Item.Sent += Size;
  if (Item.Sent < Item.Body->size())
    Bodies.push_back(std::move(Item));
  else if (Item.OnLastPart)
    Item.OnLastPart();
}

void outgoing_queue::clear() {
  Frames.clear();
  FrameBytes = 0;
  Bodies.clear();
}

} // namespace chivebeam
