#include "program/offline_store.hpp"

#include <cerrno>
#include <chrono>

namespace indigovane::program {

using store::Batch;
using store::IoStatus;
using store::Record;
using store::Writer;

namespace {

constexpr std::size_t kBatchBytes = 1u << 20;  // at most, unless one record has more
constexpr std::size_t kGroupBytes = 4u << 20;  // batches are written together from this size on

std::uint64_t unix_milliseconds() {
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count());
}

void require(const IoStatus& status) {
    if (!status.ok()) throw OfflineStoreError(status.text());
}

// Writes records as batches of limited size, in groups of them.
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
        require(writer_.write(group_));
        group_.clear();
        group_bytes_ = 0;
    }

    Writer& writer_;
    std::uint64_t sequence_;  // of the next batch's first record
    Batch batch_;
    std::size_t batch_bytes_ = 0;
    std::vector<Batch> group_;
    std::size_t group_bytes_ = 0;
};

}  // namespace

OfflineStore::OfflineStore(const std::string& folder, bool salvage, Access access) {
    if (access != Access::create) require(store::check_folder(folder).status);
    require(store::open_folder(folder, environment_));
    IoStatus locked = environment_->lock(lock_, access != Access::read);
    if (locked.is(std::errc::operation_would_block)) throw OfflineStoreError("another process has it open");
    require(locked);
    recover_entries(salvage);
    if (recovered_.outcome == store::RecoveryResult::Outcome::no_store && access != Access::create)
        throw OfflineStoreError("there is no store in it");
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
    require(recovered_.salvaged ? writer.begin_salvaged(recovered_, store_number)
                                : writer.begin(recovered_, store_number));
    require(writer.begin_generation(recovered_.next_sequence));
    BatchWriter batches(writer, recovered_.next_sequence);
    for (Record& record : records) batches.add(std::move(record));
    batches.finish();
    require(writer.end_generation());
    return writer.bytes();
}

}  // namespace indigovane::program
