#include "program/offline_store.hpp"

#include <cerrno>
#include <chrono>

namespace indigovane::program {

using store::Batch;
using store::IoStatus;
using store::Record;
using store::Writer;

namespace {

constexpr std::size_t kBatchBytes = 1u << 20;  // a batch is larger only if it has one larger record
constexpr std::size_t kGroupBytes = 4u << 20;  // a group of batches above this size is written

std::uint64_t unix_milliseconds() {
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count());
}

void throw_on_error(const IoStatus& status) {
    if (!status.ok()) throw OfflineStoreError(status.text());
}

// Writes records in batches of limited size, and several batches together as a group.
class BatchWriter {
  public:
    BatchWriter(Writer& writer, std::uint64_t sequence) : writer_(writer), sequence_(sequence) {}

    void add(Record record) {
        std::size_t size = store::record_bytes(record.key.size(), record.value.size());
        if (batch_bytes_ + size > kBatchBytes) end_batch();
        batch_bytes_ += size;
        group_bytes_ += size;
        batch_.records.push_back(std::move(record));
        if (group_bytes_ <= kGroupBytes) return;
        end_batch();
        write_group();
    }
    void finish() {
        end_batch();
        write_group();
    }

  private:
    void end_batch() {
        batch_bytes_ = 0;
        if (batch_.records.empty()) return;
        batch_.sequence = sequence_;
        sequence_ += batch_.records.size();
        group_.push_back(std::move(batch_));
        batch_ = {};
    }
    void write_group() {
        if (group_.empty()) return;
        throw_on_error(writer_.write(group_));
        group_.clear();
        group_bytes_ = 0;
    }

    Writer& writer_;
    std::uint64_t sequence_;  // the sequence number of the next batch's first record
    Batch batch_;
    std::size_t batch_bytes_ = 0;
    std::vector<Batch> group_;
    std::size_t group_bytes_ = 0;
};

}  // namespace

OfflineStore::OfflineStore(const std::string& folder, bool salvage, Access access) {
    if (access != Access::create) throw_on_error(store::check_folder(folder).status);
    throw_on_error(store::open_folder(folder, environment_));
    IoStatus lock_status = environment_->lock(lock_, access != Access::read);
    if (lock_status.is(std::errc::operation_would_block))
        throw OfflineStoreError("another process has the store open");
    throw_on_error(lock_status);
    recover_entries(salvage);
    if (recovered_.outcome == store::RecoveryResult::Outcome::no_store && access != Access::create)
        throw OfflineStoreError("the folder has no store");
}

void OfflineStore::recover_entries(bool salvage) {
    recovered_ = store::recover(*environment_, salvage, [&](Record&& record, std::uint64_t sequence) {
        Key key(record.space, record.key);
        if (record.type == Record::Type::remove)
            entries_.erase(key);
        else
            entries_[key] = {std::move(record), sequence};
    });
    std::uint64_t now = unix_milliseconds();
    std::erase_if(entries_, [&](const auto& item) {
        std::uint64_t expires = item.second.record.expires_ms;
        return expires != 0 && expires <= now;
    });
}

std::uint64_t OfflineStore::rewrite(std::vector<Record> records, std::uint64_t store_number) {
    Writer writer(*environment_, {});
    throw_on_error(recovered_.salvaged ? writer.begin_salvaged(recovered_, store_number)
                                       : writer.begin(recovered_, store_number));
    throw_on_error(writer.begin_generation(recovered_.next_sequence));
    BatchWriter batches(writer, recovered_.next_sequence);
    for (Record& record : records) batches.add(std::move(record));
    batches.finish();
    throw_on_error(writer.end_generation());
    return writer.bytes();
}

}  // namespace indigovane::program
