// Checks the heads of answers, of which cpp-httplib takes more than HTTP has.

#ifndef OLEANDERTIDE_HTTP_ANSWER_HEAD_H_
#define OLEANDERTIDE_HTTP_ANSWER_HEAD_H_

#include <string>
#include <string_view>

namespace oleandertide::http {

// Follows the bytes of one answer: heads of interim answers, its own head, its
// body. The library drops lines that it cannot read, passes on names of fields
// that are none, and reads heads without end. Not thread-safe.
class AnswerHeadCheck {
 public:
  // Takes the next bytes. Returns false if the heads are malformed or too long.
  // Precondition: no call has returned false.
  bool Put(std::string_view bytes);

  // Whether the head of the answer has come whole.
  bool is_complete() const { return is_complete_; }

 private:
  // Looks at a head that has come whole.
  bool Finish();

  // The head that is being read.
  std::string head_;
  // Bytes of the interim answers before it.
  std::size_t interim_bytes_ = 0;
  bool is_complete_ = false;
};

}  // namespace oleandertide::http

#endif  // OLEANDERTIDE_HTTP_ANSWER_HEAD_H_
