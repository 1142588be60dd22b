#ifndef CONTROL_ORDERSERVICE_H
#define CONTROL_ORDERSERVICE_H

#include "control/ReplicatedControl.h"

namespace foxtail {

/// An order is committed: its version is in force, or a higher one is.
struct OrderTaken
{
  /// The version in force.
  DocumentVersion version_;
  /// Whether the order made it.
  bool isNew_ = false;
};

/// Another control instance leads; ask it.
struct OrderElsewhere
{
  /// Its administration endpoint.
  std::string leader_;
};

/// No quorum has confirmed it, so nothing is certain; ask again, anywhere.
struct OrderUnsure
{
  std::string reason_;
};

using OrderOutcome = std::variant<OrderTaken, OrderElsewhere, OrderUnsure>;

/// The newest accepted document.
struct NewestDocument
{
  DocumentVersion version_;
  std::shared_ptr<const std::string> text_;
};

using NewestOutcome = std::variant<NewestDocument, OrderElsewhere, OrderUnsure>;

/// Takes documents that carry their own version, and reads the newest one for
/// certain. Thread safe.
class OrderService
{
public:
  explicit OrderService(ReplicatedControl& aControl);

  /// @param aText a valid document.
  boost::asio::awaitable<OrderOutcome> Take(DocumentVersion aVersion,
                                            std::string aText);
  boost::asio::awaitable<NewestOutcome> ReadNewest();

private:
  /// Where to ask when this instance could not answer.
  boost::asio::awaitable<std::string> FindLeader();

  ReplicatedControl& control_;
};

} // namespace foxtail

#endif // CONTROL_ORDERSERVICE_H
