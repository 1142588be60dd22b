"""Contents of the examples' catalogues: seed packets and scarf stock."""


def _packet(code, name, english, note, lot):
    return {"code": code, "name": name, "name_en": english,
            "germination": note, "lot": lot}


AGRONOMY_DESK = {
    "rice": [
        _packet("ST25", "Lúa thơm ST25", "Fragrant rice ST25",
                "Ngâm 24 giờ, ủ 36 giờ ở 30 °C; nảy mầm ≥ 85 %", "L2611-04"),
        _packet("OM5451", "Lúa OM 5451", "Rice OM 5451",
                "Ngâm 30 giờ, ủ 24 giờ; thu hoạch sau 90–95 ngày", "L2611-09")],
    "maize": [
        _packet("MX10", "Ngô nếp lai MX10", "Hybrid waxy maize MX10",
                "Gieo sâu 3–4 cm, đất ẩm; nảy mầm sau 5 ngày", "L2610-17")],
    "cucumber": [
        _packet("DL-07", "Dưa leo lai F1", "Hybrid cucumber F1",
                "Ủ ấm 28–30 °C, 24 giờ nứt nanh", "L2610-22")],
    "tomato": [
        _packet("CCB-3", "Cà chua bi đỏ", "Red cherry tomato",
                "Gieo khay, che bớt nắng 10 ngày đầu", "L2609-31")],
    "chilli": [
        _packet("OCT-1", "Ớt chỉ thiên", "Bird's eye chilli",
                "Ngâm nước ấm 50 °C trong 2 giờ trước khi gieo", "L2611-02")],
    "leafy-greens": [
        _packet("RM-2", "Rau muống lá tre", "Bamboo-leaf water spinach",
                "Gieo thẳng, thu sau 20–25 ngày", "L2611-11"),
        _packet("CN-5", "Cải ngọt", "Sweet mustard greens",
                "Gieo vãi, tưới sương; nảy mầm sau 3 ngày", "L2611-12")],
    "gourds": [
        _packet("KQ-9", "Khổ qua (mướp đắng)", "Bitter gourd",
                "Kẹp nhẹ vỏ hạt, ngâm 8 giờ, ủ 48 giờ", "L2608-14"),
        _packet("BD-4", "Bí đao chanh", "Wax gourd",
                "Ngâm 6 giờ; nảy mầm sau 4–6 ngày", "L2608-15")],
    "beans": [
        _packet("DD-6", "Đậu đũa hạt đen", "Black-seeded yard-long bean",
                "Gieo 2 hạt mỗi hốc, sâu 2 cm", "L2607-03")],
    "okra": [
        _packet("DB-2", "Đậu bắp xanh", "Green okra",
                "Ngâm 12 giờ; nhiệt độ đất trên 20 °C", "L2607-08")],
    "recalls": [
        {"recall": "TH-26-118", "lot": "L2608-14",
         "text": "Sai hạn dùng trên bao: ngừng cắt, chờ bản in mới",
         "text_en": "Wrong expiry date on the packet: stop the cut, await a "
                    "new proof"}],
}

_PROVINCES = (
    ("an-giang", "An Giang"), ("dong-thap", "Đồng Tháp"),
    ("kien-giang", "Kiên Giang"), ("can-tho", "Cần Thơ"),
    ("soc-trang", "Sóc Trăng"), ("ben-tre", "Bến Tre"),
    ("tien-giang", "Tiền Giang"), ("vinh-long", "Vĩnh Long"),
    ("long-an", "Long An"), ("tay-ninh", "Tây Ninh"),
    ("lam-dong", "Lâm Đồng"), ("nghe-an", "Nghệ An"),
    ("thai-binh", "Thái Bình"), ("ha-nam", "Hà Nam"),
    ("hai-duong", "Hải Dương"))

CO_OP_ORDERS = {
    key: [{"order": f"DH-{number:04}", "co_op": f"Hợp tác xã {name}",
           "packets": 500 * number, "code": "ST25",
           "planting": "vụ Đông Xuân (winter–spring)"}]
    for number, (key, name) in enumerate(_PROVINCES, 1)}

PRESS = {
    "press-floor": [{"press": "Máy in 2", "text": "Bản in thử nhãn: duyệt "
                     "trước khi cắt", "text_en": "Label proof: approve before "
                     "the cut"}],
    "dispatch": [{"dock": "Kho Tân Tạo", "text": "Đã giao cho hợp tác xã"}],
}


def _scarf(sku, name, english, fibre, metres):
    return {"sku": sku, "name": name, "name_en": english, "fibre": fibre,
            "metres_left": metres}


MIRROR_DISPLAY = {
    "kowhai-yellow": [_scarf("KW-01", "Kōwhai", "Golden yellow",
                             "wūru (merino wool)", 14),
                      _scarf("KW-02", "Kōwhai ngā whetū", "Yellow with stars",
                             "wūru (merino wool)", 3)],
    "moana-blue": [_scarf("MO-11", "Moana", "Ocean blue", "hiraka (silk)", 8)],
    "pounamu-green": [_scarf("PO-21", "Pounamu", "Greenstone",
                             "wūru (merino wool)", 21)],
    "kokowai-red": [_scarf("KO-31", "Kōkōwai", "Red ochre",
                           "rīnena (linen)", 6)],
    "ahiahi-dusk": [_scarf("AH-41", "Ahiahi", "Evening violet",
                           "wūru (merino wool)", 9)],
    "ra-sun": [_scarf("RA-51", "Rā", "Sun orange", "miro (cotton)", 30)],
    "hukarere-snow": [_scarf("HU-61", "Hukarere", "Snow white",
                             "wūru (alpaca)", 2)],
    "ngahere-forest": [_scarf("NG-71", "Ngahere", "Forest green",
                              "wūru (merino wool)", 17)],
    "mangu-black": [_scarf("MA-81", "Mangu", "Black", "hiraka (silk)", 5)],
    "colourways": [{"colourway": "Tūī", "pairs": ["MO-11", "PO-21", "MA-81"],
                    "text": "He kāmeta mō te pō — a scarf for the evening"}],
}

_WEAVERS = ("aroha", "hine", "mereana", "ngaio", "rata", "tui", "wikitoria",
            "kahu", "marama", "moana-p", "pania", "roimata", "tahu", "whetu",
            "anahera")

WEAVER_UPLOADS = {
    f"loom-{name}": [{"weaver": name.capitalize(), "pattern": f"Tāniko {number}",
                      "text": "He tauira hou — a new pattern",
                      "threads": 400 + 10 * number}]
    for number, name in enumerate(_WEAVERS, 1)}

STOCK = {
    "ledger": [{"sku": sku, "town": town, "on_hand": count,
                "text": "E toe ana — in stock"}
               for sku, town, count in (
                   ("KW-01", "Whangārei", 4), ("KW-02", "Taupō", 1),
                   ("MO-11", "Ōtaki", 2), ("PO-21", "Tīmaru", 7),
                   ("KO-31", "Ōamaru", 0), ("AH-41", "Wānaka", 3),
                   ("RA-51", "Kaikōura", 9), ("HU-61", "Rotorua", 1),
                   ("NG-71", "Whanganui", 5), ("MA-81", "Nelson", 2))],
    "restock": [{"text": "Kua tonoa — restock sent to the weaver"}],
}
